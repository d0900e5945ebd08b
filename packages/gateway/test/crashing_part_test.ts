import { setTimeout } from "node:timers/promises";
import t from "tap";
import { CRASHING_PART, startCrashingGroup } from "./crashing_servers.ts";
import type { CrashingServers } from "./crashing_servers.ts";
import { grantingEntry, stopAll } from "./entry_group.ts";
import { Fixture } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

const SERVER_COUNT = 9;
/** Milliseconds that a sound run takes. */
const RUN_TIME = 60;
/** Milliseconds within which all entries know of a series of crashes. */
const CONTACT_TIME = 3000;
/** Crashes after which a part has to be known. */
const PROOF = 5;
/** Requests that may reach servers after the proof is known. */
const MAXIMUM_RETRIES = 3;
/** Milliseconds between two sound requests, and between two crashing ones. */
const SOUND_INTERVAL = 25;
const CRASHING_INTERVAL = 150;

let requestCount = 0;

/** Sends a prompt of these parts, unlike any other in all but the parts. */
function send(
  entry: Fixture,
  parts: readonly string[],
): Promise<CallerResponse> {
  const number = ++requestCount;
  const prompt = [...parts, number.toString(16)]
    .map((part) => `${part}:100`).join(",");
  return entry.call(`/calls/${number}`, {
    method: "POST",
    body: `body ${number}`,
    headers: {
      "x-request": `request-${number}`,
      "x-model": "m",
      "x-prompt": prompt,
    },
  });
}

/** Sends prompts at an interval, through the entries in turn, until `over`. */
async function sendSeries(
  entries: readonly Fixture[],
  interval: number,
  partsOf: (index: number) => string[],
  over: AbortSignal,
): Promise<{ at: number; status: number }[]> {
  const sent: Promise<{ at: number; status: number }>[] = [];
  for (let index = 0; !over.aborted; index++) {
    const at = performance.now();
    const entry = entries[index % entries.length]!;
    sent.push(
      send(entry, partsOf(index)).then(({ status }) => ({ at, status }))
        .catch(() => ({ at, status: 0 })),
    );
    await setTimeout(interval);
  }
  return await Promise.all(sent);
}

function soundParts(index: number): string[] {
  return ["c0", `d${index % 4}`];
}

/** Fraction of requests sent from `from` on that were served. */
function servedFraction(
  sent: readonly { at: number; status: number }[],
  from: number,
): number {
  const counted = sent.filter(({ at }) => at >= from);
  return counted.filter(({ status }) => status === 200).length /
    counted.length;
}

/** Requests with the part that were received after the proof was known. */
function receivedTooLate({ crashedAt, partReceivedAt }: CrashingServers) {
  const proofAt = crashedAt[PROOF - 1] ?? Infinity;
  return partReceivedAt.filter((at) => at > proofAt + CONTACT_TIME).length;
}

const POSITIONS = [
  {
    name: "the second part",
    partsOf: (index: number) => ["c0", CRASHING_PART, `d${index % 4}`],
  },
  {
    name: "the first part",
    partsOf: (index: number) => [CRASHING_PART, `d${index % 4}`],
  },
];

for (const { name, partsOf } of POSITIONS) {
  t.test(`requests that share only ${name}, which crashes servers, are contained`, async (t) => {
    // Guards against counting crashes for whole requests only.
    const { entries, servers } = await startCrashingGroup(
      SERVER_COUNT,
      RUN_TIME,
    );
    const over = new AbortController();
    const sound = sendSeries(entries, SOUND_INTERVAL, soundParts, over.signal);
    await setTimeout(500);
    const startedAt = performance.now();
    const crashing = sendSeries(
      entries,
      CRASHING_INTERVAL,
      partsOf,
      over.signal,
    );
    await setTimeout(2 * CONTACT_TIME);
    over.abort();
    const refused = (await crashing).at(-1);
    const served = servedFraction(await sound, startedAt + CONTACT_TIME);
    t.ok(servers.crashes >= 3, `${servers.crashes} crashes`);
    const late = receivedTooLate(servers);
    t.ok(late <= MAXIMUM_RETRIES, `${late} requests reached servers too late`);
    t.equal(refused?.status, 503);
    t.ok(served > 0.9, `${served} of the sound requests served`);
    await servers.stop();
    await stopAll(entries);
  });
}

t.test("a lost granting entry takes nothing known of a crashing part with it", async (t) => {
  const { entries, servers } = await startCrashingGroup(SERVER_COUNT, RUN_TIME);
  const granting = grantingEntry(entries)!;
  const others = entries.filter((entry) => entry !== granting);
  const over = new AbortController();
  const crashing = sendSeries(
    others,
    CRASHING_INTERVAL,
    POSITIONS[0]!.partsOf,
    over.signal,
  );
  while (servers.crashes < PROOF - 2) await setTimeout(10);
  await granting.gateway.stop();
  const stoppedAt = performance.now();
  await setTimeout(CONTACT_TIME);
  over.abort();
  await crashing;
  const late = servers.partReceivedAt.filter((at) => at > stoppedAt).length;
  t.ok(late <= MAXIMUM_RETRIES, `${late} requests reached servers`);
  await servers.stop();
  await stopAll(others);
});

t.test("entries that are all restarted refuse a crashing part as before", async (t) => {
  const { store, entries, servers } = await startCrashingGroup(
    SERVER_COUNT,
    RUN_TIME,
  );
  const over = new AbortController();
  const { partsOf } = POSITIONS[0]!;
  const crashing = sendSeries(
    entries,
    CRASHING_INTERVAL,
    partsOf,
    over.signal,
  );
  await setTimeout(CONTACT_TIME);
  over.abort();
  await crashing;
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  const restarted = await Fixture.start({
    store,
    servers: entries[0]!.servers,
    instance: "entry-1",
  });
  await restarted.waitUntilReady();
  const { crashes } = servers;
  const { status } = await send(restarted, partsOf(0));
  t.equal(status, 503);
  t.equal(servers.crashes, crashes);
  await servers.stop();
  await stopAll([restarted]);
});

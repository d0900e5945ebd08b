import { setTimeout } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { CRASHING_BODY, startCrashingGroup } from "./crashing_servers.ts";
import type { CrashingServers, CrashShape } from "./crashing_servers.ts";
import { grantingEntry, stopAll } from "./entry_group.ts";
import type { Fixture } from "./fixture.ts";

/** Milliseconds from one request that crashes its server to the next. */
const INTERVAL = 150;
/** Milliseconds of the remaining time that callers state. */
const REMAINING_TIME = 700;
/** Milliseconds after which a server is back, and its record lapses. */
const RESTART_DELAY = 1400;
const LAPSE_DELAY = 900;
/** Milliseconds within which all entries know of a series of crashes. */
const CONTACT_TIME = 3000;
/** Crashes after which a request has to be known, and retries accepted then. */
const PROOF = 3;
const MAXIMUM_RETRIES = 3;
/** Milliseconds for which crashing requests are sent. */
const DURATION = 8000;
/** Milliseconds at the end in which every other request has to be served. */
const SETTLED_TIME = 1500;

let requestCount = 0;

async function send(entry: Fixture, body: string): Promise<number> {
  requestCount++;
  const headers = {
    "x-request": `unseen-${requestCount}`,
    "x-time-left": String(REMAINING_TIME),
  };
  const response = entry.call("/calls/", { method: "POST", body, headers });
  return await response.then(({ status }) => status).catch(() => 0);
}

type Sent = { at: number; status: number };

/** Sends through the entries in turn until `end`. */
async function sendInTurn(
  entries: readonly Fixture[],
  bodyOf: (index: number) => string,
  end: number,
): Promise<Sent[]> {
  const responses: Promise<Sent>[] = [];
  for (let index = 0; performance.now() < end; index++) {
    const at = performance.now();
    const response = send(entries[index % entries.length]!, bodyOf(index));
    responses.push(response.then((status) => ({ at, status })));
    await setTimeout(INTERVAL);
  }
  return await Promise.all(responses);
}

/** Requests with this body that arrived too late after the proving crash. */
function countLate(servers: CrashingServers, body: string): number {
  const times = servers.receivedAt.get(body) ?? [];
  const proofAt = times[PROOF - 1] ?? Infinity;
  return times.filter((at) => at > proofAt + CONTACT_TIME).length;
}

/** Statuses of the sound requests of the last part of the run. */
function settledStatuses(sent: readonly Sent[], end: number): number[] {
  return sent.filter(({ at }) => at > end - SETTLED_TIME)
    .map(({ status }) => status);
}

async function assertContained(
  t: Test,
  serverCount: number,
  shape: CrashShape,
): Promise<void> {
  const { entries, servers } = await startCrashingGroup(serverCount, 0, {
    shape,
    restartDelay: RESTART_DELAY,
    lapseDelay: LAPSE_DELAY,
  });
  const end = performance.now() + DURATION;
  const [, sound] = await Promise.all([
    sendInTurn(entries, () => CRASHING_BODY, end),
    sendInTurn(entries, (index) => `sound ${index}`, end),
  ]);
  t.ok(servers.crashes >= PROOF, `${servers.crashes} crashes`);
  const late = countLate(servers, CRASHING_BODY);
  t.ok(late <= MAXIMUM_RETRIES, `${late} requests too late`);
  const settled = settledStatuses(sound, end);
  t.strictSame(settled.filter((status) => status !== 200), []);
  await servers.stop();
  await stopAll(entries);
}

t.test("a crash is counted if the server accepts connections until it starts again", async (t) => {
  // Guards against counting only crashes after which connections are refused.
  await assertContained(t, 3, "accepted");
});

t.test("a crash is counted if the server is silent until it starts again", async (t) => {
  // Guards against taking every silent server for one behind a broken path.
  await assertContained(t, 3, "silent");
});

t.test("a request under which servers fall silent does not reach the others of many", async (t) => {
  // Guards against sending it on while the earlier servers are still in doubt.
  await assertContained(t, 9, "silent");
});

t.test("a crash is counted by the next granting entry if the first one stops", async (t) => {
  // Guards against forgetting runs that ended before the granting entry changed.
  const { entries, servers } = await startCrashingGroup(9, 0, {
    shape: "silent",
    restartDelay: RESTART_DELAY,
    lapseDelay: LAPSE_DELAY,
  });
  const granting = grantingEntry(entries)!;
  const others = entries.filter((entry) => entry !== granting);
  const stopped = `entry-${entries.indexOf(granting) + 1}`;
  const end = performance.now() + DURATION;
  const sending = sendInTurn(others, () => CRASHING_BODY, end);
  await setTimeout(REMAINING_TIME + INTERVAL);
  await granting.gateway.stop();
  await sending;
  t.ok(servers.crashes >= PROOF, `${servers.crashes} crashes`);
  t.ok(countLate(servers, CRASHING_BODY) <= MAXIMUM_RETRIES);
  const lines = entries.at(-1)!.events;
  const restarts = lines.filter(({ message, context }) =>
    message === "server_crashed" && context["evidence"] === "restarted" &&
    context["instance"] !== stopped
  );
  t.ok(restarts.length >= PROOF, `${restarts.length} crashes counted`);
  await servers.stop();
  await stopAll(others);
});

t.test("several requests that crash servers are each contained at a small service", async (t) => {
  const { entries, servers } = await startCrashingGroup(3, 0, {
    restartDelay: RESTART_DELAY,
    lapseDelay: LAPSE_DELAY,
  });
  const end = performance.now() + 2 * DURATION;
  const bodies = [1, 2, 3, 4].map((number) => `${CRASHING_BODY}-${number}`);
  const [, sound] = await Promise.all([
    sendInTurn(entries, (index) => bodies[index % bodies.length]!, end),
    sendInTurn(entries, (index) => `sound ${index}`, end),
  ]);
  for (const body of bodies) {
    const late = countLate(servers, body);
    t.ok(late <= MAXIMUM_RETRIES, `${late} requests too late`);
  }
  const settled = settledStatuses(sound, end);
  t.strictSame(settled.filter((status) => status !== 200), []);
  await servers.stop();
  await stopAll(entries);
});

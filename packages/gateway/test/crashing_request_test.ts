import { setTimeout } from "node:timers/promises";
import t from "tap";
import { SUSPECT_PREFIX } from "../src/state/suspect_records.ts";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import {
  CRASHING_BODY,
  CrashingServers,
  startCrashingGroup,
} from "./crashing_servers.ts";
import { grantingEntry, startGroup, stopAll } from "./entry_group.ts";
import { writeSealedHead } from "./fake_backend_server.ts";
import { Fixture, storedConfiguration, waitUntil } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";
import { StoreView } from "./store_view.ts";

const SERVER_COUNT = 6;
const ATTEMPTS = 12;
/** Three crashes, and three retries that crash one server each. */
const MAXIMUM_CRASHES = 6;
/** Milliseconds from one attempt to the next. */
const ATTEMPT_INTERVAL = 150;

let requestCount = 0;

/** Sends a body under a new request id, as callers do on each attempt. */
function send(entry: Fixture, body: string): Promise<CallerResponse> {
  requestCount++;
  return entry.call("/calls/", {
    method: "POST",
    body,
    headers: {
      "x-request": `request-${requestCount}`,
      "x-time-left": String(1500 + requestCount),
      "x-expected-tokens": String(1 + requestCount % 5),
    },
  });
}

/** Sends the crashing request through the entries in turn. */
async function sendCrashing(
  entries: readonly Fixture[],
  attempts: number,
): Promise<CallerResponse[]> {
  const responses: CallerResponse[] = [];
  for (let attempt = 0; attempt < attempts; attempt++) {
    const entry = entries[attempt % entries.length]!;
    responses.push(await send(entry, CRASHING_BODY));
    await setTimeout(ATTEMPT_INTERVAL);
  }
  return responses;
}

/** Sends different requests through each entry until `over`; their statuses. */
async function sendOthers(
  entries: readonly Fixture[],
  over: Promise<unknown>,
): Promise<number[]> {
  const statuses: number[] = [];
  let running = true;
  void over.finally(() => running = false);
  while (running) {
    const responses = await Promise.all(
      entries.map((entry) => send(entry, `other-${requestCount}`)),
    );
    statuses.push(...responses.map(({ status }) => status));
    await setTimeout(100);
  }
  return statuses;
}

/** Whether the gateway refused a request without sending it to a server. */
function isContained({ status, headers }: CallerResponse): boolean {
  return status === 503 && headers["retry-after"] !== undefined;
}

t.test("a request that crashes servers is contained at all entries of a group", async (t) => {
  // Guards against counting crashes for each entry or each attempt only.
  const { entries, servers } = await startCrashingGroup(SERVER_COUNT);
  const attempts = sendCrashing(entries, ATTEMPTS);
  const statuses = await sendOthers(entries, attempts);
  const responses = await attempts;
  t.ok(servers.crashes >= 3, "the request crashes servers");
  t.ok(servers.crashes <= MAXIMUM_CRASHES, `${servers.crashes} crashes`);
  t.ok(isContained(responses.at(-1)!), `status ${responses.at(-1)!.status}`);
  t.strictSame(statuses.filter((status) => status !== 200), []);
  await servers.stop();
  await stopAll(entries);
});

t.test("a lost granting entry takes nothing known of a crashing request with it", async (t) => {
  const { entries, servers } = await startCrashingGroup(SERVER_COUNT);
  const granting = grantingEntry(entries)!;
  let attempts = 0;
  for (; servers.crashes < 3 && attempts < ATTEMPTS; attempts++) {
    await sendCrashing([entries[attempts % entries.length]!], 1);
  }
  const stopping = granting.gateway.stop();
  const others = entries.filter((entry) => entry !== granting);
  const responses = await sendCrashing(others, ATTEMPTS - attempts);
  t.ok(servers.crashes >= 3, "the request crashes servers");
  t.ok(servers.crashes <= MAXIMUM_CRASHES, `${servers.crashes} crashes`);
  t.ok(isContained(responses.at(-1)!), `status ${responses.at(-1)!.status}`);
  await stopping;
  await servers.stop();
  await stopAll(others);
});

t.test("an entry that starts later refuses a crashing request as well", async (t) => {
  const { store, entries, servers } = await startCrashingGroup(SERVER_COUNT);
  await sendCrashing(entries, 6);
  t.ok(servers.crashes >= 3, "the request crashes servers");
  const newest = await Fixture.start({
    store,
    servers: entries[0]!.servers,
    instance: "entry-4",
  });
  await newest.waitUntilReady();
  const crashesBefore = servers.crashes;
  const responses = await sendCrashing([newest], 3);
  t.strictSame(responses.map(isContained), [true, true, true]);
  t.equal(servers.crashes, crashesBefore);
  await servers.stop();
  await stopAll([...entries, newest]);
});

t.test("entries that are all restarted refuse a crashing request as before", async (t) => {
  const { store, entries, servers } = await startCrashingGroup(SERVER_COUNT);
  await sendCrashing(entries, 4);
  t.ok(servers.crashes >= 3, "the request crashes servers");
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  const restarted = await Fixture.start({
    store,
    servers: entries[0]!.servers,
    instance: "entry-1",
  });
  await restarted.waitUntilReady();
  const crashesBefore = servers.crashes;
  const responses = await sendCrashing([restarted], 2);
  t.strictSame(responses.map(isContained), [true, true]);
  t.equal(servers.crashes, crashesBefore);
  await servers.stop();
  await stopAll([restarted]);
});

// Guards against crashes that are forgotten when all entries are restarted.
t.test("entries that are all restarted count the crashes before on", async (t) => {
  const { store, entries, servers } = await startCrashingGroup(SERVER_COUNT);
  for (let attempts = 0; servers.crashes < 2 && attempts < 4; attempts++) {
    await sendCrashing(entries, 1);
  }
  t.equal(servers.crashes, 2);
  await waitUntil(() =>
    store.keys().some((key) => key.startsWith(SUSPECT_PREFIX))
  );
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  const restarted = await Fixture.start({
    store,
    servers: entries[0]!.servers,
    instance: "entry-1",
  });
  await restarted.waitUntilReady();
  const responses = await sendCrashing([restarted], 4);
  t.equal(servers.crashes, 3);
  t.ok(isContained(responses.at(-1)!), `status ${responses.at(-1)!.status}`);
  await servers.stop();
  await stopAll([restarted]);
});

t.test("a quarantine that a restored store has lost is written again", async (t) => {
  // Guards against a restart of all entries that forgets it.
  const { store, entries, servers } = await startCrashingGroup(SERVER_COUNT);
  const backup = store.backup();
  const isStored = () =>
    store.keys().some((key) => key.startsWith(SUSPECT_PREFIX));
  await sendCrashing(entries, 4);
  t.ok(await waitUntil(isStored));
  store.restore(backup);
  t.notOk(isStored());
  t.ok(await waitUntil(isStored));
  await servers.stop();
  await stopAll(entries);
});

t.test("entries that can't reach each other refuse what one of them has quarantined", async (t) => {
  // Guards against quarantines that are read at the start only.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const start = (instance: string, servers?: Fixture["servers"]) => {
    const storeView = new StoreView(store);
    storeView.registersClosedPort = true;
    const shared = servers === undefined ? {} : { servers };
    return Fixture.start({ store, storeView, instance, ...shared });
  };
  const first = await start("entry-1");
  const entries = [first, await start("entry-2", first.servers)];
  for (const entry of entries) await entry.waitUntilReady();
  const servers = new CrashingServers(store, first.servers, 0);
  await sendCrashing([first], 4);
  const { crashes } = servers;
  t.ok(crashes >= 3, "the request crashes servers");
  const isKnown = () =>
    entries[1]!.events.some(({ message, context }) =>
      message === "request_quarantined" && context["instance"] === "entry-2"
    );
  t.ok(await waitUntil(isKnown));
  const [response] = await sendCrashing([entries[1]!], 1);
  t.ok(isContained(response!), `status ${response!.status}`);
  t.equal(servers.crashes, crashes);
  await servers.stop();
  await stopAll(entries);
});

t.test("a request that only runs beside a crashing one is not refused", async (t) => {
  // Guards against convicting every request that runs during crashes.
  const { entries, servers } = await startCrashingGroup(SERVER_COUNT, 40);
  const attempts = sendCrashing(entries, 8);
  let crashing = true;
  void attempts.finally(() => crashing = false);
  await Promise.all(entries.map(async (entry) => {
    while (crashing) await send(entry, "harmless");
  }));
  t.ok(servers.crashes >= 3, "the request crashes servers");
  const stoppedAt = performance.now();
  for (const entry of entries) {
    const isAnswered = async () =>
      (await send(entry, "harmless")).status === 200;
    t.ok(await waitUntil(isAnswered));
  }
  t.ok(performance.now() - stoppedAt < 1000);
  for (let count = 0; count < 5; count++) {
    const responses = await Promise.all(
      entries.map((entry) => send(entry, "harmless")),
    );
    t.strictSame(responses.map(({ status }) => status), [200, 200, 200]);
  }
  await servers.stop();
  await stopAll(entries);
});

t.test("a request whose connections are reset by servers that stay up is still sent", async (t) => {
  // Guards against taking a lost response for a crash.
  const { entries } = await startGroup(3, SERVER_COUNT);
  const { servers } = entries[0]!;
  for (const server of servers) {
    server.respond = (_response, _received, socket) => socket.destroy();
  }
  const countReceived = () =>
    servers.reduce((sum, server) => sum + server.receivedRequests.length, 0);
  for (let attempt = 0; attempt < 5; attempt++) {
    const before = countReceived();
    await send(entries[attempt % entries.length]!, "lost");
    t.ok(countReceived() > before);
  }
  for (const server of servers) {
    server.respond = (response, received) =>
      writeSealedHead(response, received).end("ok");
  }
  for (const entry of entries) {
    t.equal((await send(entry, "lost")).status, 200);
  }
  await stopAll(entries);
});

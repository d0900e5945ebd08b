import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { startGroup, stopAll } from "./entry_group.ts";
import { FakeBackendServer } from "./fake_backend_server.ts";
import {
  Fixture,
  route,
  storedConfiguration,
  storedServer,
  waitUntil,
} from "./fixture.ts";
import { StoreView } from "./store_view.ts";

const ADDED = route({ name: "added", prefix: "/added/" });
const MEMBERS = "sycamorepulley/entries/";
/** More than the revisions that a test uses after a restore. */
const LOST_WRITES = 50;

function sleep(duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}

/** Writes `version` and all servers at revisions that a restore discards. */
async function writeLost(
  store: MemoryMetadataStore,
  servers: readonly FakeBackendServer[],
  version: number,
): Promise<void> {
  for (let count = 0; count < LOST_WRITES; count++) {
    store.put("other", String(count));
  }
  store.put("configuration", storedConfiguration(version));
  writeServers(store, servers);
  await sleep(200);
}

function writeServers(
  store: MemoryMetadataStore,
  servers: readonly FakeBackendServer[],
): void {
  for (const [index, { port }] of servers.entries()) {
    store.put(`servers/s${index}`, storedServer(`s${index}`, port));
  }
}

async function statusesOf(
  entries: readonly Fixture[],
  path: string,
): Promise<number[]> {
  const responses = await Promise.all(entries.map((entry) => entry.call(path)));
  return responses.map(({ status }) => status);
}

/** Whether all entries serve the route that a newer version has added. */
async function serveAdded(entries: readonly Fixture[]): Promise<boolean> {
  const statuses = await statusesOf(entries, "/added/");
  return statuses.every((status) => status === 200);
}

function isRegistered(store: MemoryMetadataStore, name: string): boolean {
  return store.keys().includes(MEMBERS + name);
}

t.test("a version that follows a restore of the store is in force at all entries", async (t) => {
  // Guards against dropping it as old for its lower revision.
  const { store, entries } = await startGroup(2);
  const backup = store.backup();
  await writeLost(store, entries[0]!.servers, 2);
  store.outage = true;
  await sleep(300);
  store.restore(backup);
  store.outage = false;
  await sleep(200);
  store.put("configuration", storedConfiguration(3, [route(), ADDED]));
  t.ok(await waitUntil(() => serveAdded(entries)));
  await stopAll(entries);
});

t.test("a restored store takes back no version, also for an entry that starts", async (t) => {
  // Guards against the copy's older version at an entry without a past.
  const { store, entries } = await startGroup(2);
  const backup = store.backup();
  store.put("configuration", storedConfiguration(2, [route(), ADDED]));
  t.ok(await waitUntil(() => serveAdded(entries)));
  store.restore(backup);
  const servers = entries[0]!.servers;
  const later = await Fixture.start({ store, servers, instance: "entry-3" });
  await later.waitUntilReady();
  t.ok(await waitUntil(() => serveAdded([...entries, later])));
  await stopAll([...entries, later]);
});

t.test("while a restored store holds an older version nobody is denied a route", async (t) => {
  // Guards against 404 for what a version allows that the store has lost.
  const { store, entries } = await startGroup(2);
  const backup = store.backup();
  store.put("configuration", storedConfiguration(2, [route(), ADDED]));
  t.ok(await waitUntil(() => serveAdded(entries)));
  store.restore(backup);
  const allAnswer = (status: number) => async () =>
    (await statusesOf(entries, "/unknown/"))
      .every((other) => other === status);
  t.ok(await waitUntil(allAnswer(503)));
  await sleep(300);
  t.same(await statusesOf(entries, "/unknown/"), [503, 503]);
  store.put("configuration", storedConfiguration(2, [route(), ADDED]));
  t.ok(await waitUntil(allAnswer(404)));
  await stopAll(entries);
});

t.test("two restores in a row, to before the first configuration, lose nothing", async (t) => {
  const { store, entries } = await startGroup(2);
  const empty = new MemoryMetadataStore().backup();
  const { servers } = entries[0]!;
  for (let version = 2; version <= 3; version++) {
    await writeLost(store, servers, version);
    store.restore(empty);
    await sleep(100);
    t.same(await statusesOf(entries, "/calls/"), [200, 200]);
  }
  writeServers(store, servers);
  store.put("configuration", storedConfiguration(4, [route(), ADDED]));
  t.ok(await waitUntil(() => serveAdded(entries)));
  await sleep(2200);
  t.same(await statusesOf(entries, "/added/"), [200, 200]);
  await stopAll(entries);
});

t.test("a server that registers after a restore gets requests", async (t) => {
  const { store, entries } = await startGroup(2);
  const backup = store.backup();
  await writeLost(store, entries[0]!.servers, 2);
  store.restore(backup);
  const server = new FakeBackendServer();
  await server.start();
  store.put("servers/late", storedServer("late", server.port));
  const isUsed = async () => {
    await statusesOf(entries, "/calls/");
    return server.receivedRequests.length > 0;
  };
  t.ok(await waitUntil(isUsed));
  server.stop();
  await stopAll(entries);
});

t.test("an entry registers again, also if its lease belongs to another now", async (t) => {
  // Guards against taking a renewal for a registration.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const backup = store.backup();
  const entry = await Fixture.start({ store });
  await entry.waitUntilReady();
  t.ok(await waitUntil(() => isRegistered(store, "entry-1")));
  store.restore(backup);
  while ((await store.grantLease()).map(({ id }) => id).unwrapOr(0) < 20);
  t.notOk(isRegistered(store, "entry-1"));
  t.ok(await waitUntil(() => isRegistered(store, "entry-1")));
  await entry.stop();
});

t.test("an entry that the store rejects learns of a restore from its peer", async (t) => {
  // Guards against a view of an older era that seems to be ahead for ever.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const { servers } = first;
  const storeView = new StoreView(store);
  const second = await Fixture
    .start({ store, storeView, servers, instance: "entry-2" });
  await second.waitUntilReady();
  const backup = store.backup();
  await writeLost(store, servers, 2);
  storeView.rejects = true;
  store.restore(backup);
  store.put("configuration", storedConfiguration(3, [route(), ADDED]));
  t.ok(await waitUntil(() => serveAdded([first, second])));
  writeServers(store, servers);
  store.put("servers/s0", storedServer("s0", servers[0].port, true));
  const received = () => servers[0].receivedRequests.length;
  const isLeft = async () => {
    const before = received();
    for (let count = 0; count < 5; count++) await second.call("/calls/");
    return received() === before;
  };
  t.ok(await waitUntil(isLeft), "a server that leaves gets nothing more");
  await Promise.all([first.gateway.stop(), second.gateway.stop()]);
  store.outage = true;
  for (const server of servers) server.stop();
});

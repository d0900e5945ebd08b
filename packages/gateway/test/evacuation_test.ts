import { setTimeout } from "node:timers/promises";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { lines, startGroup, stopAll } from "./entry_group.ts";
import {
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";
import type { FakeBackendServers } from "./fixture.ts";
import {
  Fixture,
  startServers,
  storedConfiguration,
  storedServer,
  waitUntil,
} from "./fixture.ts";

const EVACUATED_A = "configuration/evacuated/a";
const EVACUATED_B = "configuration/evacuated/b";

/** Starts a group whose second server is in data centre `b`. */
async function startTwoDataCentres(size: number) {
  const { store, entries } = await startGroup(size);
  moveToB(store, entries[0]!.servers);
  await setTimeout(200);
  return { store, entries };
}

function moveToB(
  store: MemoryMetadataStore,
  servers: FakeBackendServers,
): void {
  const record = JSON.parse(storedServer("s1", servers[1].port));
  store.put("servers/s1", JSON.stringify({ ...record, dataCentre: "b" }));
}

function received(entry: Fixture, server: number): number {
  return entry.servers[server]!.receivedRequests.length;
}

async function callAll(
  entries: readonly Fixture[],
  count = 10,
): Promise<number[]> {
  const calls = entries.flatMap((entry) =>
    Array.from({ length: count }, () => entry.call("/calls/"))
  );
  return (await Promise.all(calls)).map(({ status }) => status);
}

t.test("an evacuated data centre gets no requests until that is taken back", async (t) => {
  const { store, entries } = await startTwoDataCentres(2);
  const [first] = entries;
  t.ok((await callAll(entries)).every((status) => status === 200));
  t.ok(received(first!, 1) > 0, "the server in b is used");
  store.put(EVACUATED_B, "{}");
  await setTimeout(200);
  const before = received(first!, 1);
  t.ok((await callAll(entries)).every((status) => status === 200));
  t.equal(received(first!, 1), before);
  store.remove(EVACUATED_B);
  await setTimeout(200);
  t.ok((await callAll(entries)).every((status) => status === 200));
  t.ok(received(first!, 1) > before, "the server in b is used again");
  const logged = lines(entries)
    .filter(({ message }) => message.startsWith("evacuation_"));
  t.same([...new Set(logged.map(({ message }) => message))], [
    "evacuation_started",
    "evacuation_ended",
  ]);
  await stopAll(entries);
});

t.test("without a data centre that is not evacuated callers get 503 at once", async (t) => {
  const { store, entries } = await startTwoDataCentres(1);
  for (const key of [EVACUATED_A, EVACUATED_B]) store.put(key, "{}");
  await setTimeout(200);
  const sentAt = performance.now();
  const response = await entries[0]!.call("/calls/");
  t.equal(response.status, 503);
  t.match(JSON.parse(response.body), { reason: "no_server" });
  t.ok(Number(response.headers["retry-after"]) > 0);
  t.ok(performance.now() - sentAt < 200);
  await stopAll(entries);
});

t.test("an entry without the store learns of an evacuation from its peers", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store });
  await first.waitUntilReady();
  moveToB(store, first.servers);
  const second = await Fixture.startWithoutStore(first);
  await second.waitUntilReady();
  store.put(EVACUATED_B, "{}");
  await setTimeout(400);
  const before = received(first, 1);
  t.ok((await callAll([second])).every((status) => status === 200));
  t.equal(received(first, 1), before);
  await stopAll([first, second]);
});

t.test("an entry that starts during an evacuation keeps it", async (t) => {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  store.put(EVACUATED_B, "{}");
  const servers = await startServers(store);
  moveToB(store, servers);
  const entry = await Fixture.start({ store, servers });
  await entry.waitUntilReady();
  t.ok((await callAll([entry])).every((status) => status === 200));
  t.equal(received(entry, 1), 0);
  await stopAll([entry]);
});

t.test("a restored store that lacks an evacuation does not end it", async (t) => {
  const { store, entries } = await startTwoDataCentres(1);
  const backup = store.backup();
  store.put(EVACUATED_B, "{}");
  await setTimeout(200);
  store.restore(backup);
  await setTimeout(500);
  const before = received(entries[0]!, 1);
  t.ok((await callAll(entries)).every((status) => status === 200));
  t.equal(received(entries[0]!, 1), before);
  store.put(EVACUATED_B, "{}");
  store.remove(EVACUATED_B);
  await setTimeout(300);
  entries[0]!.servers[0].respond = async (response, received) => {
    await setTimeout(100);
    writeSealedHead(response, received).end("ok");
  };
  await callAll(entries);
  t.ok(received(entries[0]!, 1) > before);
  await stopAll(entries);
});

t.test("a stream that runs goes on to its end when its data centre is evacuated", async (t) => {
  const { store, entries } = await startTwoDataCentres(1);
  const [entry] = entries;
  store.put(EVACUATED_A, "{}");
  await setTimeout(200);
  entry!.servers[1].respond = async (response, receivedRequest) => {
    startEventStream(response, receivedRequest);
    for (let id = 1; id <= 6; id++) {
      response.write(streamEvent(id));
      await setTimeout(100);
    }
    response.end();
  };
  const streaming = entry!.call("/resumed/");
  await setTimeout(150);
  store.put(EVACUATED_B, "{}");
  const { complete, body } = await streaming;
  t.ok(complete);
  t.match(body, /id: 6/);
  await stopAll(entries);
});

t.test("a key that names no data centre is logged and changes nothing", async (t) => {
  const { store, entries } = await startTwoDataCentres(1);
  store.put("configuration/evacuated/", "{}");
  store.put(`configuration/evacuated/${"x".repeat(201)}`, "not JSON");
  store.put("configuration/evacuated/unknown", "not JSON");
  const unreadable = () =>
    entries[0]!.events
      .filter(({ message }) => message === "evacuation_unreadable");
  t.ok(await waitUntil(() => unreadable().length === 2));
  t.match(unreadable().map(({ context }) => context["detail"]), [
    /empty/,
    /201 characters, 200 are allowed/,
  ]);
  t.ok((await callAll(entries)).every((status) => status === 200));
  await stopAll(entries);
});

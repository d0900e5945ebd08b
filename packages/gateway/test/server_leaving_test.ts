import { setTimeout } from "node:timers/promises";
import t from "tap";
import { grantingEntry, lines, startGroup, stopAll } from "./entry_group.ts";
import { Fixture, storedServer, waitUntil } from "./fixture.ts";
import { streamEvent, writeSealedHead } from "./fake_backend_server.ts";
import type { LoggedEvent } from "./recording_sink.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";

/** The servers still respond; these responses say that the server leaves. */
const LEAVING = { "x-server-leaving": "1" };

/** Lets a server say that it leaves, on all further responses. */
function announceLeaving(server: FakeBackendServer): void {
  server.respond = (response, received) =>
    writeSealedHead(response, received, LEAVING).end("leaving");
}

function learned(entries: readonly Fixture[]): LoggedEvent[] {
  return lines(entries).filter(({ message }) => message === "server_leaving");
}

/** Sends requests until a response says that its server leaves. */
async function callUntilLeaving(entry: Fixture): Promise<void> {
  for (let count = 0; count < 50; count++) {
    const { body } = await entry.call("/calls/");
    if (body === "leaving") return;
  }
  throw new Error("the leaving server gets no requests");
}

/** Sends requests through an entry; returns how many the server gets. */
async function countSent(
  entry: Fixture,
  server: FakeBackendServer,
): Promise<number> {
  const before = server.receivedRequests.length;
  const responses = await Promise.all(
    Array.from({ length: 8 }, () => entry.call("/calls/")),
  );
  const failed = responses.filter(({ status }) => status !== 200);
  if (failed.length > 0) throw new Error(`${failed.length} requests failed`);
  return server.receivedRequests.length - before;
}

t.test("a server that says it leaves gets no further requests", async (t) => {
  // Guards against waiting for the store's record, which may be late.
  const fixture = await Fixture.startReady();
  const [server] = fixture.servers;
  fixture.store.outage = true;
  announceLeaving(server);
  await callUntilLeaving(fixture);
  t.equal(await countSent(fixture, server), 0);
  await fixture.stop();
});

t.test("an entry that another one grants for sends nothing to a server that told it of leaving", async (t) => {
  const { store, entries } = await startGroup(3);
  const granting = grantingEntry(entries)!;
  const asking = entries.find((entry) => entry !== granting)!;
  const [server] = entries[0]!.servers;
  store.outage = true;
  announceLeaving(server);
  await callUntilLeaving(asking);
  t.equal(await countSent(asking, server), 0);
  await stopAll(entries);
});

t.test("all entries of a group learn from one response that a server leaves", async (t) => {
  const { store, entries } = await startGroup(3);
  const granting = grantingEntry(entries)!;
  const asking = entries.find((entry) => entry !== granting)!;
  const [server] = entries[0]!.servers;
  store.outage = true;
  announceLeaving(server);
  await callUntilLeaving(asking);
  t.ok(await waitUntil(() => learned(entries).length === entries.length));
  const instances = learned(entries).map(({ context }) => context["instance"]);
  t.equal(new Set(instances).size, entries.length);
  for (const { context } of learned(entries)) {
    t.match(context, { server: "s0@1", by: /^entry-/ });
  }
  for (const entry of entries) {
    t.equal(await countSent(entry, server), 0);
  }
  await stopAll(entries);
});

t.test("a lost granting entry takes nothing known of leaving servers with it", async (t) => {
  const { store, entries } = await startGroup(3);
  const granting = grantingEntry(entries)!;
  const [server] = entries[0]!.servers;
  store.outage = true;
  announceLeaving(server);
  await callUntilLeaving(granting);
  t.ok(await waitUntil(() => learned(entries).length === entries.length));
  const stopping = granting.gateway.stop();
  const others = entries.filter((entry) => entry !== granting);
  for (const entry of others) {
    t.equal(await countSent(entry, server), 0);
  }
  await stopping;
  await stopAll(others);
});

t.test("an entry that starts later learns from others that a server leaves", async (t) => {
  const { store, entries } = await startGroup(1);
  const [first] = entries as [Fixture];
  const [server] = first.servers;
  announceLeaving(server);
  await callUntilLeaving(first);
  const second = await Fixture.start({
    store,
    servers: first.servers,
    instance: "entry-2",
  });
  await second.waitUntilReady();
  t.ok(await waitUntil(() => learned([first, second]).length > 0));
  t.equal(await countSent(second, server), 0);
  await stopAll([first, second]);
});

t.test("a server that starts again gets requests, though it left before", async (t) => {
  const fixture = await Fixture.startReady();
  const [server, other] = fixture.servers;
  announceLeaving(server);
  await callUntilLeaving(fixture);
  server.respond = (response, received) =>
    writeSealedHead(response, received).end("ok");
  const record = JSON.parse(storedServer("s0", server.port));
  fixture.store.put("servers/s0", JSON.stringify({ ...record, startedAt: 2 }));
  fixture.store.put("servers/s1", storedServer("s1", other.port, true));
  const isUsed = async () => await countSent(fixture, server) > 0;
  t.ok(await waitUntil(isUsed));
  await fixture.stop();
});

t.test("a stream of a server that leaves is passed on to its end", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = async (response, received) => {
      writeSealedHead(response, received, {
        "content-type": "text/event-stream",
        ...LEAVING,
      });
      for (let id = 1; id <= 3; id++) {
        response.write(streamEvent(id));
        await setTimeout(150);
      }
      response.end();
    };
  }
  const response = await fixture.call("/stream/", { method: "POST" });
  t.ok(response.complete);
  t.equal(response.body, [1, 2, 3].map(streamEvent).join(""));
  await fixture.stop();
});

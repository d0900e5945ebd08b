import { setTimeout } from "node:timers/promises";
import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import {
  Fixture,
  storedConfiguration,
  storedServer,
  waitUntil,
} from "./fixture.ts";
import type { LoggedEvent } from "./recording_sink.ts";
import { StoreView } from "./store_view.ts";

/** Milliseconds after which no request may reach a server that has left. */
const DRAIN_TIME = 4000;
/** Milliseconds for which an entry is cut off; more than a short failure. */
const OUTAGE = 2500;

type Entry = { fixture: Fixture; view: StoreView; instance: string };

async function startEntry(
  store: MemoryMetadataStore,
  instance: string,
  first?: Fixture,
): Promise<Entry> {
  const view = new StoreView(store);
  const fixture = await Fixture.start({
    store,
    storeView: view,
    instance,
    ...(first && { servers: first.servers }),
  });
  return { fixture, view, instance };
}

t.test("a removed server gets no requests because of a peer that was cut off", async (t) => {
  // Guards against taking over a record that the peer only retains.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await startEntry(store, "entry-1");
  const second = await startEntry(store, "entry-2", first.fixture);
  const entries = [first, second];
  for (const { fixture } of entries) await fixture.waitUntilReady();
  // The newest entry's sink receives the lines of both.
  const { events } = second.fixture;
  const grantLine = () =>
    events.find(({ message, context }) =>
      message === "load" && context["room"] === 1 && context["fleet"] === 2
    );
  t.ok(await waitUntil(() => grantLine() !== undefined));
  const grantedBy = grantLine()!.context["instance"];
  const granting = entries.find(({ instance }) => instance === grantedBy)!;
  const cutOff = entries.find((entry) => entry !== granting)!;
  const logged = (
    { instance }: Entry,
    message: string,
    details: Record<string, unknown>,
  ) => {
    const expected = Object.entries({ instance, ...details });
    const isExpected = (line: LoggedEvent) =>
      line.message === message &&
      expected.every(([name, value]) => line.context[name] === value);
    const from = events.length;
    return waitUntil(() => events.slice(from).some(isExpected));
  };

  cutOff.view.rejects = true;
  await setTimeout(OUTAGE);
  cutOff.view.rejects = false;
  t.ok(await logged(cutOff, "dependency_regained", { dependency: "store" }));

  const [removed, other] = first.fixture.servers;
  const gone = { server: "s0", change: "gone" };
  const removalRead = logged(granting, "server_changed", gone);
  store.remove("servers/s0");
  const removedAt = performance.now();
  t.ok(await removalRead);
  granting.view.rejects = true;
  store.put("servers/s2", storedServer("s2", other.port, true));
  const adopted = { from: cutOff.instance };
  t.ok(await logged(granting, "servers_adopted", adopted));
  granting.view.rejects = false;

  await setTimeout(removedAt + DRAIN_TIME - performance.now());
  const before = removed.receivedRequests.length;
  for (const { fixture, instance } of entries) {
    const responses = await Promise.all(
      Array.from({ length: 8 }, () => fixture.call("/calls/")),
    );
    t.same(new Set(responses.map(({ status }) => status)), new Set([200]));
    const received = removed.receivedRequests.length - before;
    t.equal(received, 0, `requests until those of ${instance}`);
  }
  await Promise.all(entries.map(({ fixture }) => fixture.gateway.stop()));
  for (const server of first.fixture.servers) server.stop();
});

import { MemoryMetadataStore } from "@sycamorepulley/store";
import t from "tap";
import { Fixture, route, storedConfiguration, waitUntil } from "./fixture.ts";
import { SlowLink } from "./slow_link.ts";

const MANY_ROUTES = Array.from(
  { length: 4000 },
  (_, index) =>
    route({ name: `route-${index}`, prefix: `/large-${index * 7919}/` }),
);

t.test("an entry on a slow link is sent one copy of a newer configuration", async (t) => {
  // Guards against requesting it in full from each peer at every heartbeat.
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const first = await Fixture.start({ store, instance: "entry-1" });
  const { servers } = first;
  const entries = [first];
  for (const instance of ["entry-2", "entry-3", "entry-4"]) {
    entries.push(await Fixture.start({ store, instance, servers }));
  }
  const unreachableStore = new MemoryMetadataStore();
  unreachableStore.outage = true;
  const slowEntry = await Fixture.start({
    store: unreachableStore,
    servers,
    instance: "entry-9",
  });
  const link = new SlowLink(900_000, () => slowEntry.ports.peers);
  const member = {
    instance: "entry-9",
    host: "127.0.0.1",
    port: await link.start(),
  };
  store.put("sycamorepulley/entries/entry-9", JSON.stringify(member));
  t.ok(await waitUntil(async () => await slowEntry.readiness() === 200));
  const lost = () =>
    slowEntry.events.filter(({ message, context }) =>
      message === "dependency_lost" && context["dependency"] !== "store"
    ).length;
  const lostBefore = lost();
  const before = link.relayedBytes;
  const large = storedConfiguration(2, MANY_ROUTES);
  store.put("configuration", large);
  const path = "/large-0/";
  t.ok(
    await waitUntil(async () => (await slowEntry.call(path)).status === 200),
  );
  // Anything else that was sent may still be in transit.
  await new Promise((resolve) => setTimeout(resolve, 1000));
  const copies = (link.relayedBytes - before) / large.length;
  t.ok(copies < 1.5, `${copies.toFixed(2)} copies`);
  t.equal(lost() - lostBefore, 0, "links to peers that were lost meanwhile");
  await Promise.all(
    [...entries, slowEntry].map(({ gateway }) => gateway.stop()),
  );
  for (const server of servers) server.stop();
  link.stop();
});

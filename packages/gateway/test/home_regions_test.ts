import { setTimeout } from "node:timers/promises";
import t from "tap";
import { startGroup, stopAll } from "./entry_group.ts";
import type { Fixture } from "./fixture.ts";
import { route, storedConfiguration, storedServer } from "./fixture.ts";

/** Stores a configuration whose routes and organisation have these regions. */
function configuration(
  routeRegions: Record<string, string[]>,
  organisationRegions?: string[],
): string {
  const routes = Object.entries(routeRegions).map(([name, homeRegions]) =>
    route({ name, prefix: `/${name}/`, homeRegions })
  );
  const stored = JSON.parse(storedConfiguration(2, [route(), ...routes]));
  stored.organisations[0].homeRegions = organisationRegions;
  return JSON.stringify(stored);
}

/** Starts a group with one server in each of the regions north and south. */
async function start(stored: string) {
  const { store, entries } = await startGroup(2);
  const record = JSON.parse(storedServer("s1", entries[0]!.servers[1].port));
  store.put("servers/s1", JSON.stringify({ ...record, dataCentre: "b" }));
  store.put("configuration", stored);
  await setTimeout(300);
  return entries;
}

function received(entry: Fixture): number[] {
  return entry.servers.map(({ receivedRequests }) => receivedRequests.length);
}

t.test("a request runs only in the home regions of its route", async (t) => {
  const entries = await start(configuration({ south: ["south"] }));
  const calls = entries.flatMap((entry) =>
    Array.from({ length: 4 }, () => entry.call("/south/"))
  );
  for (const { status } of await Promise.all(calls)) t.equal(status, 200);
  t.same(received(entries[0]!), [0, 8]);
  await stopAll(entries);
});

t.test("the home regions of route and organisation both bind", async (t) => {
  const stored = configuration(
    { south: ["south"], either: ["north", "south"] },
    ["north"],
  );
  const entries = await start(stored);
  t.equal((await entries[0]!.call("/either/")).status, 200);
  t.same(received(entries[0]!), [1, 0]);
  const refused = await entries[1]!.call("/south/");
  t.equal(refused.status, 503);
  t.match(JSON.parse(refused.body), { reason: "no_home" });
  t.ok(Number(refused.headers["retry-after"]) > 0);
  t.same(received(entries[0]!), [1, 0]);
  await stopAll(entries);
});

t.test("a request whose home has failed runs nowhere else", async (t) => {
  const entries = await start(configuration({ south: ["south"] }));
  await entries[0]!.servers[1].crash();
  const { status } = await entries[0]!.call("/south/");
  t.equal(status, 503);
  t.same(received(entries[0]!), [0, 0]);
  await stopAll(entries);
});

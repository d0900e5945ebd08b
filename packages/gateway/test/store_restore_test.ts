import t from "tap";
import { startGroup, stopAll } from "./entry_group.ts";
import { route, storedConfiguration, waitUntil } from "./fixture.ts";
import type { Fixture } from "./fixture.ts";

const ADDED = route({ name: "added", prefix: "/added/" });

/** Whether all entries serve the route that a newer version has added. */
async function serveAdded(entries: readonly Fixture[]): Promise<boolean> {
  const responses = await Promise.all(
    entries.map((entry) => entry.call("/added/")),
  );
  return responses.every(({ status }) => status === 200);
}

t.test("a version that follows a restore of the store is in force at all entries", async (t) => {
  // Guards against dropping it as old for its lower revision.
  const { store, entries } = await startGroup(2);
  const backup = store.backup();
  store.put("configuration", storedConfiguration(2));
  for (let count = 0; count < 50; count++) store.put("other", String(count));
  await new Promise((resolve) => setTimeout(resolve, 200));
  store.outage = true;
  await new Promise((resolve) => setTimeout(resolve, 300));
  store.restore(backup);
  store.outage = false;
  await new Promise((resolve) => setTimeout(resolve, 200));
  store.put("configuration", storedConfiguration(3, [route(), ADDED]));
  t.ok(await waitUntil(() => serveAdded(entries)));
  await stopAll(entries);
});

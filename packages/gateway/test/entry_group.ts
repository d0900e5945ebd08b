import { MemoryMetadataStore } from "@sycamorepulley/store";
import {
  Fixture,
  startServers,
  storedConfiguration,
  waitUntil,
} from "./fixture.ts";
import type { LoggedEvent } from "./recording_sink.ts";

/** Starts entries of one group, all of them ready. */
export async function startGroup(
  size: number,
  serverCount = 2,
): Promise<{ store: MemoryMetadataStore; entries: Fixture[] }> {
  const store = new MemoryMetadataStore();
  store.put("configuration", storedConfiguration(1));
  const servers = await startServers(store, serverCount);
  const first = await Fixture.start({ store, servers });
  const entries = [first];
  for (let number = 2; number <= size; number++) {
    const instance = `entry-${number}`;
    entries.push(await Fixture.start({ store, servers, instance }));
  }
  for (const entry of entries) await entry.waitUntilReady();
  await waitUntil(() => grantingEntry(entries) !== undefined);
  return { store, entries };
}

/** Lines of all entries: the newest one's sink receives them. */
export function lines(entries: readonly Fixture[]): readonly LoggedEvent[] {
  return entries.at(-1)!.events;
}

/** The entry that grants for all others, once there is one. */
export function grantingEntry(
  entries: readonly Fixture[],
): Fixture | undefined {
  const load = lines(entries).findLast(({ message, context }) =>
    message === "load" && context["room"] === 1 &&
    context["fleet"] === entries.length
  );
  return entries
    .find((_, index) => load?.context["instance"] === `entry-${index + 1}`);
}

/** Stops entries and the servers that they share. */
export async function stopAll(entries: readonly Fixture[]): Promise<void> {
  await Promise.all(entries.map(({ gateway }) => gateway.stop()));
  // Waiting watches would keep the process running.
  entries[0]!.store.outage = true;
  for (const server of entries[0]!.servers) server.stop();
}

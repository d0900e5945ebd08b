/** How much of a service's requests each version's servers can carry. @module */
import type { LoadMessage } from "@sycamorepulley/protocol";

type ServerLoad = { version: string | undefined; load: LoadMessage };

/** Newest load of each server that this entry has heard of. */
export class VersionCapacity {
  readonly #servers = new Map<string, ServerLoad>();

  observe(name: string, version: string | undefined, load: LoadMessage): void {
    this.#servers.set(name, { version, load });
  }

  remove(name: string): void {
    this.#servers.delete(name);
  }

  /** From 0, no server is there, to 1, it can carry all that there is now. */
  capacityShare(version: string): number {
    let limit = 0;
    let present = 0;
    for (const { version: own, load } of this.#servers.values()) {
      if (own === version && load.healthy) limit += load.limit;
      present += load.running + load.waiting;
    }
    return Math.min(1, limit / Math.max(1, present));
  }
}

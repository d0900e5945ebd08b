/** The capacity of the servers of each version of a service. @module */
import type { LoadMessage } from "@sycamorepulley/protocol";

type ServerLoad = { version: string | undefined; load: LoadMessage };

/** Keeps the newest load report of each server that this entry knows. */
export class VersionCapacity {
  readonly #servers = new Map<string, ServerLoad>();

  observe(name: string, version: string | undefined, load: LoadMessage): void {
    this.#servers.set(name, { version, load });
  }

  remove(name: string): void {
    this.#servers.delete(name);
  }

  /**
   * Returns the share of the service's current requests that the healthy
   * servers of a version can carry: 0 without any such server, at most 1.
   */
  capacityShare(version: string): number {
    let limit = 0;
    let currentRequests = 0;
    for (const { version: serverVersion, load } of this.#servers.values()) {
      if (serverVersion === version && load.healthy) limit += load.limit;
      currentRequests += load.running + load.waiting;
    }
    return Math.min(1, limit / Math.max(1, currentRequests));
  }
}

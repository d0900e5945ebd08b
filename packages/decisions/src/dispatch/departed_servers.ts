/**
 * Servers that may not be sent requests any more but still run some, and those
 * that only other entries know. Each is kept until its last run ends.
 * @module
 */
import type { PooledServer } from "./pooled_server.ts";
import { ServerRuns } from "./server_runs.ts";

/** Milliseconds that a server goes on serving at least, by default. */
export const DEFAULT_DRAIN_TIME = 2000;

/** `server` is absent if it never was in the pool of this entry. */
type Departed = {
  runs: ServerRuns;
  server: PooledServer | undefined;
  /** Address as `host:port`, if it is known. */
  address: string | undefined;
  /** Time at which it left the pool; `undefined` if it never was in it. */
  at: number | undefined;
};

/** Departed servers by incarnation. */
export class DepartedServers {
  readonly #servers = new Map<string, Departed>();
  readonly #drainTime: number;

  /**
   * `drainTime`: milliseconds that a server that leaves goes on serving. One
   * that ends sooner has crashed.
   */
  constructor(drainTime: number) {
    this.#drainTime = drainTime;
  }

  add(name: string, server: PooledServer, now: number): void {
    this.#servers.set(name, {
      runs: server.runs,
      server,
      address: server.address,
      at: now,
    });
  }

  /** Whether the server left so long ago that its end may be planned. */
  hasDrained(name: string, now: number): boolean {
    const at = this.#servers.get(name)?.at;
    return at !== undefined && now - at >= this.#drainTime;
  }

  /** Removes and returns a server that is used again. */
  take(name: string): Partial<Departed> {
    const departed = this.#servers.get(name) ?? {};
    this.#servers.delete(name);
    return departed;
  }

  runsOf(name: string): ServerRuns | undefined {
    return this.#servers.get(name)?.runs;
  }

  /** Address as `host:port`, if it is known. */
  addressOf(name: string): string | undefined {
    return this.#servers.get(name)?.address;
  }

  /** Departed servers, and their addresses. */
  *servers(): Iterable<[server: string, address: string | undefined]> {
    for (const [name, { address }] of this.#servers) yield [name, address];
  }

  /** Adds a server that only the entry that granted it knows. */
  addUnknown(name: string, address: string | undefined): ServerRuns {
    const runs = new ServerRuns();
    this.#servers.set(name, {
      runs,
      server: undefined,
      address,
      at: undefined,
    });
    return runs;
  }

  /** Removes a server without runs; returns true if it was one. */
  removeIfIdle(name: string): boolean {
    const departed = this.#servers.get(name);
    if (departed === undefined || departed.runs.size > 0) return false;
    return this.#servers.delete(name);
  }

  /** Removes the runs of an entry; returns the servers without others. */
  removeEntry(entry: string): string[] {
    for (const { runs } of this.#servers.values()) runs.removeEntry(entry);
    return [...this.#servers.keys()].filter((name) => this.removeIfIdle(name));
  }
}

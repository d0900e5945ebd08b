/**
 * Runs that ended without a complete response although no crash of their server
 * was seen: the connection broke, the server was silent, or the caller left.
 *
 * Such a run is unresolved. The server's response to a request granted later
 * shows that the server outlasted the run. Another start at the server's address
 * shows that the server ended, and these runs are the possible causes. Until one
 * of both is known, the servers with an unresolved run of a request bound how
 * many more servers the request is sent to.
 * @module
 */
import type { CrashedRun } from "../suspects/mod.ts";

/**
 * Milliseconds for which a run stays unresolved. A server that has ended is back
 * after a few seconds.
 */
const UNRESOLVED_DURATION = 10_000;
/** Milliseconds between two removals of runs that are no longer unresolved. */
const REMOVAL_INTERVAL = 1000;
/** Maximum number of unresolved runs that are kept for a server. */
const MAXIMUM_RUNS = 64;

/** A run of a granted request, without a complete response so far. */
export type GrantedRun = Pick<CrashedRun, "fingerprints" | "suspects"> & {
  /** Id of the request. */
  id: string;
  grantedAt: number;
  /** See `GrantedRequest`. */
  isRestricted: boolean;
  /**
   * Granted as a suspect of several crashes, to a server that had responded to
   * all it ran: if the server ends, it has ended during the run.
   */
  isConclusive: boolean;
};

/** One that ended without a complete response. */
export type UnresolvedRun = GrantedRun & { endedAt: number };

type SilentServer = {
  /** Address as `host:port`, if it is known. */
  address: string | undefined;
  /** By request id, in the order of their ends. */
  runs: Map<string, UnresolvedRun>;
};

/** Unresolved runs of one service, by the incarnation of their server. */
export class UnresolvedRuns {
  readonly #servers = new Map<string, SilentServer>();
  /** Servers with unresolved runs, and the end of the last, by fingerprint. */
  readonly #doubts = new Map<string, Map<string, number>>();
  #removedAt = -Infinity;

  /** `address`: of the server, as `host:port`, if it is known. */
  add(server: string, address: string | undefined, run: UnresolvedRun): void {
    this.#removeExpired(run.endedAt);
    const silent = this.#servers.get(server) ?? { address, runs: new Map() };
    this.#servers.set(server, silent);
    if (silent.runs.size >= MAXIMUM_RUNS) return;
    silent.runs.set(run.id, run);
    for (const fingerprint of run.fingerprints) {
      const doubts = this.#doubts.get(fingerprint) ?? new Map();
      doubts.set(server, run.endedAt);
      this.#doubts.set(fingerprint, doubts);
    }
  }

  /**
   * Records a response of a server to a request that was granted at `grantedAt`:
   * it has outlasted the runs that ended before.
   */
  recordResponse(server: string, grantedAt: number): void {
    const silent = this.#servers.get(server);
    if (silent === undefined) return;
    const runs = [...silent.runs.values()];
    const remaining = runs.filter(({ endedAt }) => endedAt > grantedAt);
    if (remaining.length === runs.length) return;
    this.#remove(server);
    for (const run of remaining) this.add(server, silent.address, run);
  }

  /**
   * Records a complete run of a request: it did not cause what happened to
   * servers before.
   */
  recordCompleteRun(fingerprints: readonly string[]): void {
    if (this.#servers.size === 0) return;
    const [request] = fingerprints;
    for (const server of this.#doubts.get(request!)?.keys() ?? []) {
      const runs = this.#servers.get(server)?.runs;
      for (const [id, run] of runs ?? []) {
        if (run.fingerprints[0] === request) runs?.delete(id);
      }
    }
    for (const fingerprint of fingerprints) this.#doubts.delete(fingerprint);
  }

  /** Number of servers with an unresolved run under a fingerprint. */
  countServers(fingerprint: string, now: number): number {
    let count = 0;
    for (const endedAt of this.#doubts.get(fingerprint)?.values() ?? []) {
      if (now - endedAt < UNRESOLVED_DURATION) count++;
    }
    return count;
  }

  /** The unresolved runs of a server. */
  runsOf(server: string, now: number): UnresolvedRun[] {
    return [...this.#servers.get(server)?.runs.values() ?? []]
      .filter(({ endedAt }) => now - endedAt < UNRESOLVED_DURATION);
  }

  /** Removes and returns the unresolved runs of a server that has ended. */
  take(server: string, now: number): UnresolvedRun[] {
    const runs = this.runsOf(server, now);
    this.#remove(server);
    return runs;
  }

  /** Address of a server with unresolved runs as `host:port`, if it is known. */
  addressOf(server: string): string | undefined {
    return this.#servers.get(server)?.address;
  }

  /** Servers with unresolved runs, and their addresses. */
  *servers(): Iterable<[server: string, address: string | undefined]> {
    for (const [server, { address }] of this.#servers) yield [server, address];
  }

  #removeExpired(now: number): void {
    if (now - this.#removedAt < REMOVAL_INTERVAL) return;
    this.#removedAt = now;
    for (const [server, { runs }] of this.#servers) {
      const isExpired = [...runs.values()]
        .every(({ endedAt }) => now - endedAt >= UNRESOLVED_DURATION);
      if (isExpired) this.#remove(server);
    }
  }

  #remove(server: string): void {
    const silent = this.#servers.get(server);
    if (silent === undefined) return;
    this.#servers.delete(server);
    for (const { fingerprints } of silent.runs.values()) {
      for (const fingerprint of fingerprints) {
        const doubts = this.#doubts.get(fingerprint);
        doubts?.delete(server);
        if (doubts?.size === 0) this.#doubts.delete(fingerprint);
      }
    }
  }
}

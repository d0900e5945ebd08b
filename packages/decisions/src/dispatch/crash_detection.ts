/**
 * Which servers of a service have crashed, and what may have caused it.
 *
 * A process that has ended refuses connections immediately, so that a broken
 * connection followed by a refused one shows a crash. A server may also end
 * without that: its host is unreachable, or accepts connections for it. Then
 * another start at its address, while runs never ended, shows the crash.
 * @module
 */
import { startTimeOf } from "../discovery/mod.ts";
import type { CrashedRun, ServerCrash } from "../suspects/mod.ts";
import type { DepartedServers } from "./departed_servers.ts";
import type { ServerRuns } from "./server_runs.ts";
import { SuspectExposure } from "./suspect_exposure.ts";
import { UnresolvedRuns } from "./unresolved_runs.ts";
import type { GrantedRun } from "./unresolved_runs.ts";

/** What showed that a server crashed. */
export type CrashEvidence =
  /** A connection broke, and the server refused new ones. */
  | "refused"
  /** Another start at the address, while runs had not ended. */
  | "restarted";

/** A crash of a server, and what showed it. */
export type DetectedCrash = ServerCrash & { evidence: CrashEvidence };

/** Maximum number of ended servers of which the counted requests are kept. */
const MAXIMUM_ENDED_SERVERS = 256;

/** The servers of a pool, by incarnation. */
export type PoolServers = {
  runsOf: (server: string) => ServerRuns | undefined;
  /** Address as `host:port`, if it is known. */
  addressOf: (server: string) => string | undefined;
};

/** Counts each crash of a server once for each request that ran there. */
export class CrashDetection {
  readonly #servers: PoolServers;
  readonly #departed: DepartedServers;
  readonly #unresolved = new UnresolvedRuns();
  readonly exposure = new SuspectExposure();
  /** The last start at each address, by incarnation. */
  #starts: ReadonlyMap<string, string> = new Map();
  /**
   * Requests that were counted at servers that have started again, by the
   * incarnation that ended; oldest first.
   */
  readonly #ended = new Map<string, Set<string>>();

  constructor(servers: PoolServers, departed: DepartedServers) {
    this.#servers = servers;
    this.#departed = departed;
  }

  /**
   * Records that a server broke a connection and refused a new one. Returns the
   * crash, unless it is known or the server may have stopped as planned.
   */
  recordRefusal(server: string, now: number): DetectedCrash | undefined {
    if (this.#departed.hasDrained(server, now)) return undefined;
    const running = this.#servers.runsOf(server)?.recordCrash();
    if (running === undefined) return undefined;
    const address = this.#addressOf(server);
    const ended = this.#unresolved.take(server, now);
    const runs = [...running.map(causeOf), ...ended.map(uncertainCauseOf)];
    const isLost = running.some(({ isRestricted }) => isRestricted);
    if (runs.length > 0) this.exposure.recordCrash(address, isLost, now);
    return crashOf(address, runs, "refused");
  }

  /**
   * Records that a run is about to end without a complete response. Returns the
   * crash if another start of the server is known.
   */
  recordInterruption(
    server: string,
    id: string,
    now: number,
  ): DetectedCrash | undefined {
    const runs = this.#servers.runsOf(server);
    const run = runs?.get(id);
    if (run === undefined || run.precedesCrash || runs?.crashed) {
      return undefined;
    }
    if (this.#departed.hasDrained(server, now)) return undefined;
    const address = this.#servers.addressOf(server);
    this.#unresolved.add(server, address, { ...run, endedAt: now });
    return this.#hasStartedAgain(server, address)
      ? this.#recordRestart(server, now)
      : undefined;
  }

  /** Records that a server responded to a request that runs there. */
  recordResponse(server: string, id: string): void {
    const run = this.#servers.runsOf(server)?.get(id);
    if (run !== undefined) {
      this.#unresolved.recordResponse(server, run.grantedAt);
    }
  }

  /** Records a complete run of a request with these fingerprints. */
  recordCompleteRun(fingerprints: readonly string[]): void {
    this.#unresolved.recordCompleteRun(fingerprints);
  }

  /**
   * Updates the last start at each address. Returns the crashes of servers that
   * ended before one of these starts.
   */
  setStarts(
    starts: ReadonlyMap<string, string>,
    now: number,
  ): DetectedCrash[] {
    for (const [address, server] of starts) {
      if (this.#starts.get(address) !== server) {
        this.exposure.recordStart(address);
      }
    }
    this.#starts = starts;
    const candidates = new Map([
      ...this.#departed.servers(),
      ...this.#unresolved.servers(),
    ]);
    const crashes: DetectedCrash[] = [];
    for (const [server, address] of candidates) {
      if (!this.#hasStartedAgain(server, address)) continue;
      const crash = this.#recordRestart(server, now);
      if (crash !== undefined) crashes.push(crash);
    }
    return crashes;
  }

  /** Unresolved runs of a server. */
  unresolvedRuns(server: string, now: number): readonly GrantedRun[] {
    return this.#unresolved.runsOf(server, now);
  }

  /** Servers at which a run with the fingerprint is unresolved. */
  countUnresolved(fingerprint: string, now: number): number {
    return this.#unresolved.countServers(fingerprint, now);
  }

  #hasStartedAgain(server: string, address: string | undefined): boolean {
    const last = address === undefined ? undefined : this.#starts.get(address);
    return last !== undefined && startTimeOf(last) > startTimeOf(server);
  }

  #recordRestart(server: string, now: number): DetectedCrash | undefined {
    const running = this.#servers.runsOf(server)?.recordCrash() ?? [];
    const address = this.#addressOf(server);
    const counted = this.#ended.get(server) ?? new Set();
    const uncounted = [...running, ...this.#unresolved.take(server, now)]
      .filter(({ fingerprints }) => !counted.has(fingerprints[0]!));
    for (const { fingerprints } of uncounted) counted.add(fingerprints[0]!);
    this.#ended.set(server, counted);
    if (this.#ended.size > MAXIMUM_ENDED_SERVERS) {
      const [oldest] = this.#ended.keys();
      this.#ended.delete(oldest!);
    }
    const runs = uncounted.map(uncertainCauseOf);
    if (runs.length > 0) this.exposure.recordCrash(address, false, now);
    return crashOf(address, runs, "restarted");
  }

  /** The address of a server, or its incarnation if that is not known. */
  #addressOf(server: string): string {
    return this.#servers.addressOf(server) ??
      this.#unresolved.addressOf(server) ?? server;
  }
}

function crashOf(
  server: string,
  runs: readonly CrashedRun[],
  evidence: CrashEvidence,
): DetectedCrash | undefined {
  return runs.length === 0 ? undefined : { server, runs, evidence };
}

/** A run that was running when the server crashed. */
function causeOf({ fingerprints, suspects }: GrantedRun): CrashedRun {
  return { fingerprints, suspects };
}

/** A run of a server that crashed at an unknown time. */
function uncertainCauseOf(run: GrantedRun): CrashedRun {
  return { ...causeOf(run), mayFollowCrash: !run.isConclusive };
}

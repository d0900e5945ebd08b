/**
 * Runs of this entry that ended without a complete response although no crash
 * of their server was seen. The granting entry counts a crash if the server
 * starts again; these runs are repeated to the next one, which does not know
 * them.
 * @module
 */
import {
  isInterrupted,
  newestByAddress,
  startTimeOf,
} from "@sycamorepulley/decisions";
import type {
  GrantRequest,
  RunOutcome,
  ServerRecord,
} from "@sycamorepulley/decisions";

/** Milliseconds for which a run is kept; a server is back sooner. */
const RETENTION = 10_000;
/** Maximum number of runs that are kept; the oldest is evicted. */
const MAXIMUM_RUNS = 512;

/** Where a request was running. */
export type RunLocation = {
  /** Incarnation of the server. */
  server: string;
  /** Its address as `host:port`, if it was known. */
  address: string | undefined;
};

/** A run that was interrupted. */
export type InterruptedRun = RunLocation & {
  request: GrantRequest;
  outcome: RunOutcome;
  endedAt: number;
};

/** Interrupted runs of one entry, oldest first. */
export class InterruptedRuns {
  readonly #runs = new Map<string, InterruptedRun>();

  /** Records the end of a run, unless its outcome shows what became of it. */
  recordEnd(run: InterruptedRun): void {
    if (!isInterrupted(run.outcome) || run.outcome === "crashed") return;
    this.#runs.set(run.request.id, run);
    if (this.#runs.size <= MAXIMUM_RUNS) return;
    const [oldest] = this.#runs.keys();
    this.#runs.delete(oldest!);
  }

  /** The server responded to a request that was granted at `grantedAt`. */
  recordResponse(server: string, grantedAt: number): void {
    this.#removeIf((run) => run.server === server && run.endedAt <= grantedAt);
  }

  /** Removes the runs that the granting entry has counted as crashed by now. */
  setServers(records: readonly ServerRecord[]): void {
    if (this.#runs.size === 0) return;
    const newest = newestByAddress(records);
    this.#removeIf(({ server, address }) => {
      const last = address === undefined ? undefined : newest.get(address);
      return last !== undefined && last.startedAt > startTimeOf(server);
    });
  }

  /** The runs of which it is not known whether their server ended. */
  current(now: number): InterruptedRun[] {
    this.#removeIf(({ endedAt }) => now - endedAt >= RETENTION);
    return [...this.#runs.values()];
  }

  #removeIf(condition: (run: InterruptedRun) => boolean): void {
    for (const [id, run] of this.#runs) {
      if (condition(run)) this.#runs.delete(id);
    }
  }
}

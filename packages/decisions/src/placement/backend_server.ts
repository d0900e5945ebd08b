/** A backend server as known to one entry. @module */
import type { Distance } from "./distance.ts";

/** Load of a backend server as reported in its sidecar's `load` message. */
export type ObservedLoad = {
  running: number;
  waiting: number;
  /** Number of requests the server can run at once. */
  limit: number;
  /**
   * Rank of the lowest tier that would still be queued; absent while the queue
   * is not full.
   */
  lowestTierRank?: number | undefined;
  /** Milliseconds that a new reservation of the lowest tier would wait. */
  expectedWait: number;
  healthy: boolean;
};

/**
 * Milliseconds after which a load report is ignored. Reports come with replies,
 * so a busy link renews them many times a second. An engine's queue turns over
 * within about a second, so an older report describes a queue that no longer
 * exists.
 */
export const LOAD_REPORT_TIMEOUT = 1000;

/** Load ratio assumed for a server without a recent report. */
export const UNKNOWN_LOAD_RATIO = 0.5;

/**
 * Added to the load ratio of a server that would refuse the tier, so that it is
 * chosen last.
 */
const SHEDDING_PENALTY = 10;

/** Identity, distance and last load report of a backend server. */
export class BackendServer {
  readonly name: string;
  readonly version: string | undefined;
  readonly dataCentre: string;
  readonly distance: Distance;
  /**
   * Rendezvous hash of the entry and this server; the entry links to the
   * servers with the largest values.
   */
  readonly rendezvousHash: number;
  load: ObservedLoad | undefined;
  loadReportedAt = -Infinity;

  constructor(
    options: {
      name: string;
      version: string | undefined;
      dataCentre: string;
      distance: Distance;
      rendezvousHash: number;
    },
  ) {
    this.name = options.name;
    this.version = options.version;
    this.dataCentre = options.dataCentre;
    this.distance = options.distance;
    this.rendezvousHash = options.rendezvousHash;
  }

  /** Whether a recent report says that the tier would be refused. */
  sheds(tierRank: number, now: number): boolean {
    const lowest = this.load?.lowestTierRank;
    return lowest !== undefined && tierRank > lowest &&
      now - this.loadReportedAt < LOAD_REPORT_TIMEOUT;
  }

  /**
   * Running and waiting requests relative to the server's limit; 1 when full. A
   * report loses weight as it ages: if old reports counted in full, every entry
   * would choose the server that was idle a second ago.
   */
  loadRatio(tierRank: number, now: number): number {
    const freshness = 1 - (now - this.loadReportedAt) / LOAD_REPORT_TIMEOUT;
    if (this.load === undefined || freshness <= 0) return UNKNOWN_LOAD_RATIO;
    const { running, waiting, limit } = this.load;
    const reported = (running + waiting) / Math.max(limit, 1);
    const shedding = this.sheds(tierRank, now) ? SHEDDING_PENALTY : 0;
    return UNKNOWN_LOAD_RATIO +
      (reported + shedding - UNKNOWN_LOAD_RATIO) * freshness;
  }
}

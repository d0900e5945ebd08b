/** One backend server as an entry sees it. @module */
import type { Distance } from "./distance.ts";

/** First-hand load, as a sidecar's `load` message states it. */
export type ObservedLoad = {
  running: number;
  waiting: number;
  /** Requests the server can run at once. */
  limit: number;
  /** Lowest tier that would be queued now; absent while there is room. */
  lowestTierRank?: number | undefined;
  /** Milliseconds that a new reservation of the lowest tier would wait. */
  expectedWait: number;
  healthy: boolean;
};

/**
 * Milliseconds after which a load report says nothing. Reports ride on replies:
 * a busy link renews them many times a second, and an engine's queue turns over
 * within about a second, so an older one describes a queue that is gone.
 */
export const LOAD_FRESHNESS = 1000;

/** Load ratio assumed of a server that has said nothing lately. */
export const UNKNOWN_LOAD = 0.5;

/** Added for a server that would refuse the tier: it is asked last. */
const SHEDDING_PENALTY = 10;

/** Identity, distance and last report of a backend server. */
export class BackendServer {
  readonly name: string;
  readonly version: string | undefined;
  readonly distance: Distance;
  /** Rank in the asking entry's subset; a larger one is kept first. */
  readonly affinity: number;
  load: ObservedLoad | undefined;
  loadAt = -Infinity;

  constructor(
    options: {
      name: string;
      version: string | undefined;
      distance: Distance;
      affinity: number;
    },
  ) {
    this.name = options.name;
    this.version = options.version;
    this.distance = options.distance;
    this.affinity = options.affinity;
  }

  /** True when a fresh report says that the tier would be refused. */
  sheds(tierRank: number, now: number): boolean {
    const lowest = this.load?.lowestTierRank;
    return lowest !== undefined && tierRank > lowest &&
      now - this.loadAt < LOAD_FRESHNESS;
  }

  /**
   * Requests per place, 1 when full. A report loses its say as it ages: acting
   * on an old one sends every entry to the server that was idle a second ago.
   */
  pressure(tierRank: number, now: number): number {
    const freshness = 1 - (now - this.loadAt) / LOAD_FRESHNESS;
    if (this.load === undefined || freshness <= 0) return UNKNOWN_LOAD;
    const { running, waiting, limit } = this.load;
    const reported = (running + waiting) / Math.max(limit, 1);
    const shedding = this.sheds(tierRank, now) ? SHEDDING_PENALTY : 0;
    return UNKNOWN_LOAD + (reported + shedding - UNKNOWN_LOAD) * freshness;
  }
}

/**
 * The shares of an engine's capacity that long and short work may use.
 *
 * Capacity is held for the other kind of work while that kind, in the same or a
 * higher tier, has recently asked for it. If it were also held for lower tiers,
 * quotes would be shed in favour of look-ups; if it were held without demand,
 * it would be wasted.
 * @module
 */
import { RecentDemand } from "./recent_demand.ts";

/**
 * Share of long work; the rest is for short work, which frees capacity within
 * the time of a first token.
 */
const LONG_SHARE = 0.75;
/**
 * Milliseconds after the last demand of short work for which capacity is held
 * for it.
 */
const SHORT_HOLD_TIME = 30_000;
/**
 * Milliseconds after the last demand of long work for which capacity is held
 * for it. Short work frees capacity soon, so it is held only while long work
 * waits.
 */
const LONG_HOLD_TIME = 1000;

export class CapacityShares {
  readonly #shortDemand = new RecentDemand();
  readonly #longDemand = new RecentDemand();

  /** Records that work of the tier asks for capacity. */
  recordDemand(tierRank: number, long: boolean, now: number): void {
    const demand = long ? this.#longDemand : this.#shortDemand;
    demand.record(tierRank, now);
  }

  /**
   * Returns the share, from 0 to 1, that work of this kind and tier may use.
   */
  shareOf(tierRank: number, long: boolean, now: number): number {
    if (long) {
      const held = this.#shortDemand.hasDemandSince(
        now - SHORT_HOLD_TIME,
        tierRank,
      );
      return held ? LONG_SHARE : 1;
    }
    const held = this.#longDemand.hasDemandSince(
      now - LONG_HOLD_TIME,
      tierRank,
    );
    return held ? 1 - LONG_SHARE : 1;
  }
}

/**
 * How much of an engine's room long and short work may hold.
 *
 * Room is kept for the other kind while work of it, of the same or a higher tier,
 * has come lately. Kept for lower tiers too, it would shed quotes before look-ups;
 * kept for work that does not come, it would be wasted.
 * @module
 */
import { LastAsked } from "./last_asked.ts";

/** Long work's part; the rest turns over within a first token's time. */
const LONG_SHARE = 0.75;
/** Milliseconds after short work in which room is kept for the next. */
const SHORT_MEMORY = 30_000;
/** The same after long work: short work makes room soon, so only while it waits. */
const LONG_MEMORY = 1000;

/** See the module. */
export class RoomShares {
  readonly #shortAsked = new LastAsked();
  readonly #longAsked = new LastAsked();

  /** Work of the tier asks for room. */
  note(tierRank: number, long: boolean, now: number): void {
    const asked = long ? this.#longAsked : this.#shortAsked;
    asked.note(tierRank, now);
  }

  /** The share, from 0 to 1, that work of this kind and tier may hold. */
  of(tierRank: number, long: boolean, now: number): number {
    if (long) {
      const kept = this.#shortAsked.since(now - SHORT_MEMORY, tierRank);
      return kept ? LONG_SHARE : 1;
    }
    const kept = this.#longAsked.since(now - LONG_MEMORY, tierRank);
    return kept ? 1 - LONG_SHARE : 1;
  }
}

/**
 * Estimates an upper bound of a stream's duration.
 *
 * An entry that is draining may only accept a stream that certainly ends before
 * the entry's process does. Callers' estimates of a stream's length are right
 * at the median and often far off. The bound is therefore taken from the
 * streams that lasted longest relative to their estimated length.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/**
 * Least upper bound in milliseconds for each token of the estimated length,
 * before enough streams were observed.
 */
const INITIAL_TIME_PER_TOKEN = 50;
/**
 * Milliseconds to the first token and for all else that does not depend on the
 * length.
 */
const FIXED_TIME = 600;
/** Minimum estimated length in tokens; shorter estimates count as this. */
const MINIMUM_TOKENS = 10;
/** Number of latest streams that are taken into account. */
const WINDOW_SIZE = 500;
/** Factor between the longest observed duration and the bound. */
const SAFETY_FACTOR = 1.3;

/** Learns by how much streams exceed their estimated length. */
export class StreamDurationBound {
  readonly #timesPerToken: number[] = [];
  #next = 0;

  /**
   * Records that a stream took `duration` milliseconds; one without an
   * estimated length is ignored.
   */
  observe(cost: Cost, duration: number): void {
    if (cost.promptTokens === 0) return;
    this.#timesPerToken[this.#next] = Math.max(0, duration - FIXED_TIME) /
      tokensOf(cost);
    this.#next = (this.#next + 1) % WINDOW_SIZE;
  }

  /** Returns the milliseconds that hardly any stream of this cost exceeds. */
  upperBound(cost: Cost): number {
    return FIXED_TIME + this.#timePerTokenBound() * tokensOf(cost);
  }

  #timePerTokenBound(): number {
    const observed = Math.max(0, ...this.#timesPerToken) * SAFETY_FACTOR;
    return this.#timesPerToken.length < WINDOW_SIZE
      ? Math.max(INITIAL_TIME_PER_TOKEN, observed)
      : observed;
  }
}

function tokensOf(cost: Cost): number {
  return Math.max(MINIMUM_TOKENS, cost.outputTokens);
}

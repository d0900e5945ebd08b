/**
 * How long a stream may take beyond what was estimated.
 *
 * An entry that stops may only take a stream that surely ends before its own
 * process does. Callers' estimates are right at the median and often far off, so
 * it goes by the longest streams, for their estimated length, that it has seen.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/**
 * Milliseconds that a stream takes for each token of its estimated length, at
 * most, before any was seen.
 */
const FIRST_LONGEST = 50;
/** Milliseconds to a first token and for all that is not proportional. */
const FIXED_TIME = 600;
/** Estimates shorter than this many tokens count as this many. */
const LEAST_TOKENS = 10;
/** Streams over which the longest is remembered. */
const REMEMBERED = 500;
/** Margin over the longest that was seen. */
const MARGIN = 1.3;

/** Learns how much longer than estimated streams take. */
export class StreamDurationBound {
  readonly #seen: number[] = [];
  #next = 0;

  /** A stream whose length was estimated took `measured` milliseconds in all. */
  observe(cost: Cost, measured: number): void {
    if (cost.promptTokens === 0) return;
    this.#seen[this.#next] = Math.max(0, measured - FIXED_TIME) /
      tokensOf(cost);
    this.#next = (this.#next + 1) % REMEMBERED;
  }

  /** Milliseconds that hardly any stream of this cost exceeds. */
  upperBound(cost: Cost): number {
    return FIXED_TIME + this.#perToken() * tokensOf(cost);
  }

  #perToken(): number {
    if (this.#seen.length < REMEMBERED) return FIRST_LONGEST;
    return Math.max(...this.#seen) * MARGIN;
  }
}

function tokensOf(cost: Cost): number {
  return Math.max(LEAST_TOKENS, cost.outputTokens);
}

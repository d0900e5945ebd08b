/**
 * Compares the time to first token on one engine with the time expected from
 * the prompts before it.
 *
 * Load pattern: quotes of 7,000 tokens on an engine whose memory holds ten of
 * them. The engine accepts any number, runs ten and lets the rest wait inside,
 * where their tiers are unknown. Its few streams are fast, so the time between
 * tokens suggests free capacity; only the missing first tokens show that
 * requests are waiting.
 * @module
 */
import type { RunningSequence } from "./running_sequence.ts";

/** Minimum number of first tokens in a window for a meaningful mean. */
const MIN_FIRST_TOKENS = 2;

/** All times are in milliseconds. */
export class FirstTokenLateness {
  /** Start times of the sequences without a first token, oldest first. */
  readonly #outstanding = new Map<RunningSequence, number>();
  #lateness = 0;
  #count = 0;

  recordStart(sequence: RunningSequence, now: number): void {
    this.#outstanding.set(sequence, now);
  }

  /**
   * The first token has arrived. `allowed` is the time expected for its own
   * prompt and the earlier ones.
   */
  recordFirstToken(
    sequence: RunningSequence,
    allowed: number,
    now: number,
  ): void {
    const startedAt = this.#outstanding.get(sequence) ?? now;
    this.recordEnd(sequence);
    this.#lateness += (now - startedAt) / allowed;
    this.#count += 1;
  }

  /** The request ended without a first token. */
  recordEnd(sequence: RunningSequence): void {
    this.#outstanding.delete(sequence);
  }

  /**
   * Ends a window. Returns the mean ratio of the time to first token to the
   * allowed time, or that of the oldest sequence still without a first token if
   * it is larger. A ratio of 1 means that the engine is on time.
   */
  endWindow(
    allowedFor: (sequence: RunningSequence) => number,
    now: number,
  ): number {
    const mean = this.#count < MIN_FIRST_TOKENS
      ? 0
      : this.#lateness / this.#count;
    this.#lateness = 0;
    this.#count = 0;
    for (const [oldest, startedAt] of this.#outstanding) {
      return Math.max(mean, (now - startedAt) / allowedFor(oldest));
    }
    return mean;
  }
}

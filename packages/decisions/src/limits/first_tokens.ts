/**
 * How late the first tokens of one engine are, beside what the prompts before
 * them explain.
 *
 * Load pattern: quotes of 7,000 tokens on an engine whose memory holds ten of
 * them. The engine takes any number, runs ten and lets the rest wait inside,
 * where no tier is known. Its streams are few and fast, so the time between
 * tokens says that there is room for more; only the first tokens stay out.
 * @module
 */
import type { RunningSequence } from "./running_sequence.ts";

/** Fewer first tokens than this in a window are chance. */
const LEAST_FIRST_TOKENS = 2;

/** Times are milliseconds. */
export class FirstTokens {
  /** Oldest first. */
  readonly #outstanding = new Map<RunningSequence, number>();
  #lateness = 0;
  #count = 0;

  started(sequence: RunningSequence, now: number): void {
    this.#outstanding.set(sequence, now);
  }

  /** `allowed` is the time that its own and the earlier prompts explain. */
  came(sequence: RunningSequence, allowed: number, now: number): void {
    const started = this.#outstanding.get(sequence) ?? now;
    this.gone(sequence);
    this.#lateness += (now - started) / allowed;
    this.#count += 1;
  }

  /** The request ended without a first token. */
  gone(sequence: RunningSequence): void {
    this.#outstanding.delete(sequence);
  }

  /**
   * Ends a window: mean time over the allowed one, 1 when all is well. Where no
   * first token came at all, the oldest that is still out speaks for itself.
   */
  endWindow(
    allowedFor: (sequence: RunningSequence) => number,
    now: number,
  ): number {
    const mean = this.#count < LEAST_FIRST_TOKENS
      ? 0
      : this.#lateness / this.#count;
    this.#lateness = 0;
    this.#count = 0;
    for (const [oldest, started] of this.#outstanding) {
      return Math.max(mean, (now - started) / allowedFor(oldest));
    }
    return mean;
  }
}

/**
 * How many prompt tokens a server may be given to read at a time.
 *
 * Engines read prompts in between the tokens of all answers beside them, and
 * differ widely in speed: what a fast one reads without anybody noticing stops
 * every answer of a slow one. The pauses tell what a server can take, so the bound
 * is learned from them, and a slow server is left with short prompts.
 * @module
 */

/** Tokens before anything is learned: six chunks of 2,048, an event's steps. */
const FIRST_LIMIT = 12_000;
/** Never less: one chunk, or nothing could show that a server has recovered. */
const LEAST_LIMIT = 2000;
/** Never more: the largest prompts have 55,000 tokens. */
const LARGEST_LIMIT = 60_000;
/** Part of the accepted pause above which too much was read. */
const LONGEST_PART = 0.8;
/** Below the amount that was too much, by this part. */
const LOWERED_PART = 0.8;
/** One answer lowers the limit to this part at most: its pause may have had another cause. */
const STEEPEST_PART = 0.7;
/** Raised by this part for an answer in time at a server that read nearly the limit. */
const RAISED_PART = 1.04;
const NEARLY_PART = 0.6;
/** Milliseconds between two lowerings: answers that paused together end together. */
const LOWERED_EVERY = 200;

/** One server's limit; see the module. */
export class ReadingLimit {
  #limit = FIRST_LIMIT;
  #loweredAt = -Infinity;

  /** In prompt tokens. */
  get tokens(): number {
    return this.#limit;
  }

  /**
   * An answer ended. `pausePart`: its longest pause over what its caller accepts;
   * `reading`: most tokens that its server had to read at a time meanwhile.
   */
  observe(pausePart: number, reading: number, now: number): void {
    if (pausePart > LONGEST_PART) this.#lower(reading, now);
    else if (reading >= this.#limit * NEARLY_PART) this.#raise();
  }

  #lower(reading: number, now: number): void {
    const target = Math.max(LEAST_LIMIT, reading * LOWERED_PART);
    if (target >= this.#limit) return;
    if (now - this.#loweredAt < LOWERED_EVERY) return;
    this.#loweredAt = now;
    this.#limit = Math.max(target, this.#limit * STEEPEST_PART);
  }

  #raise(): void {
    this.#limit = Math.min(LARGEST_LIMIT, this.#limit * RAISED_PART);
  }
}

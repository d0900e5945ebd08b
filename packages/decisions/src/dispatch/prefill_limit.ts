/**
 * Limits the prompt tokens of pending prefill at a server.
 *
 * Engines interleave prefill with the decoding of all other responses, and
 * differ widely in speed: prefill that is not noticeable at a fast engine
 * stalls every response of a slow one. The limit is learned from the pauses in
 * responses, so that a slow server is sent short prompts only.
 * @module
 */

/**
 * Prompt tokens before the first observation: six prefill chunks of 2,048
 * tokens, one for each engine step between two events of a response.
 */
const INITIAL_LIMIT = 12_000;
/**
 * Prompt tokens of about one prefill chunk. With a lower limit no response
 * could show that a server has recovered.
 */
const MINIMUM_LIMIT = 2000;
/** In prompt tokens; the largest prompts have 55,000. */
const MAXIMUM_LIMIT = 60_000;
/**
 * Fraction of the accepted pause above which the pending prefill was too much.
 */
const MAXIMUM_PAUSE_FRACTION = 0.8;
/** The limit is lowered to this fraction of the amount that was too much. */
const LOWERED_FRACTION = 0.8;
/**
 * Smallest factor by which one response lowers the limit, since its pause may
 * have had another cause.
 */
const STRONGEST_REDUCTION = 0.7;
/**
 * Factor by which a response without long pauses raises the limit, if the
 * pending prefill was near the limit.
 */
const RAISE_FACTOR = 1.04;
/** Fraction of the limit from which on pending prefill counts as near it. */
const NEAR_LIMIT_FRACTION = 0.6;
/**
 * Minimum milliseconds between two reductions, because responses that paused
 * together end together.
 */
const REDUCTION_INTERVAL = 200;
/**
 * Milliseconds after the last observation until the limit starts to return to
 * its initial value. In the same time again, the difference decays to 1/e.
 */
const FADE_TIME = 4000;

/** The prefill limit of one server. */
export class PrefillLimit {
  #limit = INITIAL_LIMIT;
  #loweredAt = -Infinity;
  #observedAt = -Infinity;

  /** The limit in prompt tokens. */
  get tokens(): number {
    return this.#limit;
  }

  /**
   * The limit in prompt tokens, which returns to its initial value when no
   * observations follow. Otherwise a server that gets no requests would keep
   * the limit of its worst moment.
   */
  tokensAt(now: number): number {
    const age = now - this.#observedAt - FADE_TIME;
    if (age <= 0) return this.#limit;
    const weight = Math.exp(-age / FADE_TIME);
    return INITIAL_LIMIT + (this.#limit - INITIAL_LIMIT) * weight;
  }

  /** Like {@link PrefillLimit.observe}, from {@link PrefillLimit.tokensAt} on. */
  observeFaded(pausePart: number, pendingPrefill: number, now: number): void {
    this.#limit = this.tokensAt(now);
    this.observe(pausePart, pendingPrefill, now);
  }

  /**
   * Updates the limit after a response. `pausePart` is its longest pause as a
   * fraction of the pause that its caller accepts, `pendingPrefill` the maximum
   * of pending prompt tokens at its server meanwhile.
   */
  observe(pausePart: number, pendingPrefill: number, now: number): void {
    this.#observedAt = now;
    if (pausePart > MAXIMUM_PAUSE_FRACTION) this.#lower(pendingPrefill, now);
    else if (pendingPrefill >= this.#limit * NEAR_LIMIT_FRACTION) this.#raise();
  }

  #lower(pendingPrefill: number, now: number): void {
    const target = Math.max(MINIMUM_LIMIT, pendingPrefill * LOWERED_FRACTION);
    if (target >= this.#limit) return;
    if (now - this.#loweredAt < REDUCTION_INTERVAL) return;
    this.#loweredAt = now;
    this.#limit = Math.max(target, this.#limit * STRONGEST_REDUCTION);
  }

  #raise(): void {
    this.#limit = Math.min(MAXIMUM_LIMIT, this.#limit * RAISE_FACTOR);
  }
}

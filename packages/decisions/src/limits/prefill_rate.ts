/**
 * Measures how many prompt tokens an engine prefills per millisecond, over the
 * time in which it has prompts to prefill. Prefixes found in the engine's cache
 * count as prefilled, because what matters is how soon the first token comes.
 * @module
 */

/**
 * Milliseconds of prefilling after which a measurement has lost most of its
 * weight, so that a slow engine shows within seconds.
 */
const DECAY_TIME = 4000;
/**
 * Rate until the first measurement, in tokens per millisecond: the 2,000 tokens
 * a second of an older engine.
 */
const INITIAL_RATE = 2;
/** Milliseconds of prefilling that the initial rate counts as. */
const INITIAL_WEIGHT = 500;
/** In tokens per millisecond. */
const MIN_RATE = 0.01;
/**
 * The time of a prompt that was blocked says nothing about the prefill rate,
 * but this many in a row mean that the engine has become slow.
 */
const MIN_CONSECUTIVE_BLOCKED = 3;

/** The time from the start of a prompt to its first token. */
export type PrefillMeasurement = {
  promptTokens: number;
  /**
   * Milliseconds since the prompt was started or, if that was later, since the
   * previous prefill ended.
   */
  elapsed: number;
  blocked: boolean;
};

export class PrefillRate {
  #prefillTime = INITIAL_WEIGHT;
  #tokens = INITIAL_WEIGHT * INITIAL_RATE;
  #consecutiveBlocked = 0;

  /** Prompt tokens per millisecond. */
  get value(): number {
    return Math.max(MIN_RATE, this.#tokens / this.#prefillTime);
  }

  observe({ promptTokens, elapsed, blocked }: PrefillMeasurement): void {
    this.#consecutiveBlocked = blocked ? this.#consecutiveBlocked + 1 : 0;
    if (blocked && this.#consecutiveBlocked < MIN_CONSECUTIVE_BLOCKED) {
      return;
    }
    const decay = Math.exp(-elapsed / DECAY_TIME);
    this.#tokens = this.#tokens * decay + promptTokens;
    this.#prefillTime = this.#prefillTime * decay + DECAY_TIME * (1 - decay);
  }
}

/**
 * Prompt tokens that an engine prefills per millisecond, measured over the time
 * in which it had any to prefill. Prefixes found in its cache count as prefilled:
 * what matters is how soon the first token comes.
 * @module
 */

/** Prefilling milliseconds remembered: a slow engine shows within seconds. */
const MEMORY = 4000;
/** Assumed until measured: an older engine's 2,000 tokens a second. */
const COLD_RATE = 2;
const COLD_WEIGHT = 500;
const SLOWEST_RATE = 0.01;
/**
 * A prompt that was blocked says nothing of the rate, but so many in a row say
 * that the engine has become slow.
 */
const BLOCKED_IN_A_ROW = 3;

/** One prompt's way to its first token. */
export type PrefillTime = {
  promptTokens: number;
  /** Milliseconds since it was started, or since the one before it ended. */
  elapsed: number;
  blocked: boolean;
};

/** See the module. */
export class PrefillRate {
  #busy = COLD_WEIGHT;
  #tokens = COLD_WEIGHT * COLD_RATE;
  #blocked = 0;

  /** Tokens per millisecond. */
  get value(): number {
    return Math.max(SLOWEST_RATE, this.#tokens / this.#busy);
  }

  observe({ promptTokens, elapsed, blocked }: PrefillTime): void {
    this.#blocked = blocked ? this.#blocked + 1 : 0;
    if (blocked && this.#blocked < BLOCKED_IN_A_ROW) {
      return;
    }
    const kept = Math.exp(-elapsed / MEMORY);
    this.#tokens = this.#tokens * kept + promptTokens;
    this.#busy = this.#busy * kept + MEMORY * (1 - kept);
  }
}

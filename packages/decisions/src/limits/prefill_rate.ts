/**
 * Prompt tokens that an engine prefills per millisecond, measured over the time
 * in which it had any to prefill. Prefixes found in its cache count as prefilled:
 * what matters is how soon the first token comes.
 * @module
 */

/** Busy milliseconds remembered: a slow engine shows within seconds. */
const MEMORY = 4000;
/** Assumed until measured: an older engine's 2,000 tokens a second. */
const COLD_RATE = 2;
const COLD_WEIGHT = 500;
const SLOWEST_RATE = 0.01;

/** See the module. */
export class PrefillRate {
  #busy = COLD_WEIGHT;
  #tokens = COLD_WEIGHT * COLD_RATE;
  #lastNow = 0;
  #outstanding = 0;

  /** Tokens per millisecond. */
  get value(): number {
    return Math.max(SLOWEST_RATE, this.#tokens / this.#busy);
  }

  started(now: number): void {
    this.advance(now);
    this.#outstanding += 1;
  }

  /** A prefill has ended; `promptTokens` is 0 if it was given up. */
  ended(promptTokens: number, now: number): void {
    this.advance(now);
    this.#outstanding -= 1;
    this.#tokens += promptTokens;
  }

  /** Counts the time since the last event as busy or idle. */
  advance(now: number): void {
    const elapsed = Math.max(0, now - this.#lastNow);
    this.#lastNow = now;
    if (this.#outstanding === 0) {
      return;
    }
    const kept = Math.exp(-elapsed / MEMORY);
    this.#tokens *= kept;
    this.#busy = this.#busy * kept + MEMORY * (1 - kept);
  }
}

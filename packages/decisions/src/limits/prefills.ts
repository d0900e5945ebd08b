/**
 * Tracks prompts until their first token and detects prompts that wait inside
 * the engine.
 *
 * Load pattern: quotes of 7,000 tokens on an engine whose memory holds ten. The
 * running streams keep their speed, so the time between tokens shows nothing,
 * while the eleventh quote waits inside for minutes with short requests of
 * higher tiers behind it. The only sign is that no prompt gets its first token
 * although the other sequences are decoding. If this wait is taken for slow
 * prefilling, the engine is given only one prompt at a time.
 * @module
 */
import type { PrefillMeasurement } from "./prefill_rate.ts";

/**
 * Milliseconds beyond the tolerated prefill time after which a prompt counts as
 * blocked; half the goal for the first token.
 */
const BLOCKED_TIMEOUT = 650;
/**
 * A prefill may take this many times as long as expected from the prompt's
 * length.
 */
const PREFILL_TOLERANCE = 2;

type Prefill = { startedAt: number; promptTokens: number };

/** Prompts without a first token, in the order in which they were started. */
export class Prefills {
  readonly #prefills = new Map<string, Prefill>();
  #lastEndAt = -Infinity;
  #oldestBlocked = false;

  recordStart(id: string, promptTokens: number, now: number): void {
    this.#prefills.set(id, { startedAt: now, promptTokens });
  }

  /**
   * Ends a prefill: the first token has arrived, or the request has ended
   * without one.
   */
  recordEnd(id: string, now: number): PrefillMeasurement | undefined {
    const prefill = this.#prefills.get(id);
    if (prefill === undefined) {
      return undefined;
    }
    this.#prefills.delete(id);
    const { promptTokens } = prefill;
    const elapsed = this.#elapsed(prefill, now);
    const blocked = this.#oldestBlocked;
    this.#lastEndAt = now;
    this.#oldestBlocked = false;
    return { promptTokens, elapsed, blocked };
  }

  /**
   * Returns whether the oldest prompt waits inside the engine. Returns `true`
   * only once until a prefill ends. `rate` is in tokens per millisecond.
   */
  detectBlocked(rate: number, now: number): boolean {
    const [oldest] = this.#prefills.values();
    if (oldest === undefined || this.#oldestBlocked) {
      return false;
    }
    const tolerated = PREFILL_TOLERANCE * oldest.promptTokens / rate;
    this.#oldestBlocked =
      this.#elapsed(oldest, now) > BLOCKED_TIMEOUT + tolerated;
    return this.#oldestBlocked;
  }

  #elapsed(prefill: Prefill, now: number): number {
    return now - Math.max(prefill.startedAt, this.#lastEndAt);
  }
}

/**
 * Models how long servers take to the first token of a response and for each
 * further token.
 *
 * Engines differ widely in speed. Balanced by the number of requests alone, the
 * slowest engines would get as many as the fastest, and their long responses
 * would miss the deadline. Latencies are learned from responses, relative to
 * nominal ones, so that no engine's speed has to be configured. Without new
 * responses, what was learned of a server is gradually discarded; otherwise one
 * slow response would exclude it for good.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/** Nominal milliseconds to the first token, without the prefill. */
const FIRST_TOKEN_BASE = 60;
/** Nominal prefill speed, in prompt tokens per millisecond. */
const PROMPT_TOKENS_PER_MILLISECOND = 100;
/** Nominal milliseconds for each token of a response. */
const TIME_PER_TOKEN = 4;
/** Number of responses that are delayed by the prefill of a prompt. */
const DELAYED_BY_PREFILL = 6;
/** Nominal milliseconds of a plain call. */
const PLAIN_CALL = 40;
/** Weight of the newest observation; the mean covers about the last ten. */
const NEWEST_WEIGHT = 0.12;
/** Bounds of an observed ratio, so that a single stall has little effect. */
const MINIMUM_RATIO = 0.1;
const MAXIMUM_RATIO = 5;
/**
 * Milliseconds after the last observation until a ratio starts to return to its
 * fallback. In the same time again, the difference decays to 1/e.
 */
const FADE_TIME = 4000;

/**
 * Nominal milliseconds to the first token. `pendingPrefillTokens` are prompt
 * tokens of other requests that the server has to process as well.
 */
export function nominalFirstTokenTime(
  cost: Cost,
  pendingPrefillTokens = 0,
): number {
  if (cost.promptTokens === 0) return PLAIN_CALL;
  const tokens = cost.promptTokens + pendingPrefillTokens;
  return FIRST_TOKEN_BASE + tokens / PROMPT_TOKENS_PER_MILLISECOND;
}

/** Nominal milliseconds from the first token to the last. */
export function nominalDecodeTime(cost: Cost): number {
  return cost.promptTokens === 0 ? 0 : cost.outputTokens * TIME_PER_TOKEN;
}

/** Nominal milliseconds of a whole run, in which it occupies a slot. */
export function nominalRunTime(cost: Cost): number {
  return nominalFirstTokenTime(cost) + nominalDecodeTime(cost);
}

/**
 * Nominal milliseconds of slot time that a request costs: its own time, and the
 * time by which it delays other responses, as its prefill is interleaved with
 * their decoding.
 */
export function nominalSlotTime(cost: Cost): number {
  const prefillTime = cost.promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
  return nominalRunTime(cost) + prefillTime * DELAYED_BY_PREFILL;
}

/**
 * Ratio of measured to nominal latency, of one server or of a whole service.
 */
export class LatencyRatio {
  #ratio: number | undefined;
  #observedAt = 0;

  /** True after the first observation. */
  get isKnown(): boolean {
    return this.#ratio !== undefined;
  }

  /**
   * Above 1 is slower than nominal. This is `fallback` before the first
   * observation, and returns to it when no further ones follow.
   */
  value(now: number, fallback: number): number {
    if (this.#ratio === undefined) return fallback;
    const age = Math.max(0, now - this.#observedAt - FADE_TIME);
    const weight = Math.exp(-age / FADE_TIME);
    return fallback + (this.#ratio - fallback) * weight;
  }

  observe(measured: number, nominal: number, now: number): void {
    const ratio = Math.min(
      MAXIMUM_RATIO,
      Math.max(MINIMUM_RATIO, measured / nominal),
    );
    this.#observedAt = now;
    this.#ratio = this.#ratio === undefined
      ? ratio
      : this.#ratio + NEWEST_WEIGHT * (ratio - this.#ratio);
  }
}

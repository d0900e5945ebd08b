/**
 * How long servers of unlike speed take: to their first answer, and for each
 * token after it.
 *
 * Engines differ widely in speed: by the count of requests alone the slowest get
 * as many as the fastest, and long answers don't end there in time. Paces are
 * learned from answers, so that no figure of any engine is set. What was learned
 * of a server that is not sent anything fades, or one bad answer would shut it
 * out for good.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/** Milliseconds of a first token without any prompt, before anything is learned. */
const FIRST_TOKEN_BASE = 60;
/** Prompt tokens read in a millisecond, before anything is learned. */
const PROMPT_TOKENS_PER_MILLISECOND = 100;
/** Milliseconds for each token of an answer, before anything is learned. */
const TIME_PER_TOKEN = 4;
/** Answers that a prompt's reading delays. */
const DELAYED_BY_READING = 6;
/** Milliseconds of a plain call, before anything is learned. */
const PLAIN_CALL = 40;
/** Weight of the newest observation: about the last ten count. */
const NEWEST_WEIGHT = 0.12;
/** Bounds of one observation, so that one stall does not count for many. */
const LEAST_RATIO = 0.1;
const LARGEST_RATIO = 5;
/** Milliseconds without an observation in which a pace fades to a third. */
const FADES_IN = 4000;

/** Milliseconds to the first answer at a server of middling speed. */
export function nominalFirst(cost: Cost, unreadTokens = 0): number {
  if (cost.promptTokens === 0) return PLAIN_CALL;
  const tokens = cost.promptTokens + unreadTokens;
  return FIRST_TOKEN_BASE + tokens / PROMPT_TOKENS_PER_MILLISECOND;
}

/** Milliseconds from the first token to the last, likewise. */
export function nominalRest(cost: Cost): number {
  return cost.promptTokens === 0 ? 0 : cost.outputTokens * TIME_PER_TOKEN;
}

/** Milliseconds for which a place is taken, likewise. */
export function nominalRunTime(cost: Cost): number {
  return nominalFirst(cost) + nominalRest(cost);
}

/**
 * Milliseconds of places that an answer takes up, likewise. A prompt is read in
 * between the tokens of all answers beside it, and delays each of them.
 */
export function nominalUse(cost: Cost): number {
  const reading = cost.promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
  return nominalRunTime(cost) + reading * DELAYED_BY_READING;
}

/** Measured over nominal times of one server, or of a whole service. */
export class Pace {
  #ratio: number | undefined;
  #observedAt = 0;

  /** False until something was observed. */
  get known(): boolean {
    return this.#ratio !== undefined;
  }

  /** 1 is middling; `otherwise` before anything was observed. */
  ratio(now: number, otherwise: number): number {
    if (this.#ratio === undefined) return otherwise;
    const age = Math.max(0, now - this.#observedAt - FADES_IN);
    const faded = Math.exp(-age / FADES_IN);
    return otherwise + (this.#ratio - otherwise) * faded;
  }

  observe(measured: number, nominal: number, now: number): void {
    const ratio = Math.min(
      LARGEST_RATIO,
      Math.max(LEAST_RATIO, measured / nominal),
    );
    this.#observedAt = now;
    this.#ratio = this.#ratio === undefined
      ? ratio
      : this.#ratio + NEWEST_WEIGHT * (ratio - this.#ratio);
  }
}

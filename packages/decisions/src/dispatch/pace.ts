/**
 * How long servers of unlike speed take to their first answer.
 *
 * Answers a fleet whose engines differ by a factor of five: counting requests
 * alone gives the slowest as many as the fastest, and its prompts come late. Each
 * server's pace is what it took over what a server of middling speed is expected
 * to take, learned from first answers, so that no figure of any engine is set.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/** Milliseconds of a first token without any prompt, before anything is learned. */
const FIRST_TOKEN_BASE = 60;
/** Prompt tokens read in a millisecond, before anything is learned. */
const PROMPT_TOKENS_PER_MILLISECOND = 100;
/** Milliseconds of a plain call, before anything is learned. */
const PLAIN_CALL = 40;
/** Weight of the newest observation: about the last ten count. */
const NEWEST_WEIGHT = 0.12;
/** Bounds of one observation, so that one stall does not shut a server out. */
const LEAST_RATIO = 0.1;
const LARGEST_RATIO = 8;

/** Work of a cost in milliseconds at a server of middling speed. */
export function nominalTime(cost: Cost, unreadTokens = 0): number {
  if (cost.promptTokens === 0) return PLAIN_CALL;
  const tokens = cost.promptTokens + unreadTokens;
  return FIRST_TOKEN_BASE + tokens / PROMPT_TOKENS_PER_MILLISECOND;
}

/** One server's pace, or that of all servers of a service; 1 is middling. */
export class Pace {
  #ratio: number | undefined;

  /** Measured over nominal time; `undefined` before the first observation. */
  get ratio(): number | undefined {
    return this.#ratio;
  }

  observe(measured: number, nominal: number): void {
    const ratio = Math.min(
      LARGEST_RATIO,
      Math.max(LEAST_RATIO, measured / nominal),
    );
    this.#ratio = this.#ratio === undefined
      ? ratio
      : this.#ratio + NEWEST_WEIGHT * (ratio - this.#ratio);
  }
}

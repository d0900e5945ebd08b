/**
 * How long one backend server, or one generation of them, takes for a cost.
 *
 * Load pattern: engines of unlike speed and requests with little time left. A
 * request granted to an engine that cannot finish it in time wastes its whole
 * prefill; one held back by a guess from a faster engine does as well.
 *
 * Time to first token is a base plus a time per prompt token, by regression with
 * exponential forgetting; the rest is a time per output token.
 *
 * What must fit a deadline is taken half as long again as the mean. Answers vary
 * in length: on a slow engine that the mean just fits, every second one is late
 * after its whole prefill, while a refusal sends it to a faster engine. In the
 * bench at twice the capacity this halves the late prefill; a margin of two
 * refuses the longest work on all engines.
 * @module
 */
import type { Cost } from "../queueing/waiting_reservation.ts";

const MARGIN = 1.5;
/** What one answer takes from the weight of those before it. */
const FORGETTING = 0.98;
/** Cold start: 100 ms, 2,000 prompt tokens a second, 38 ms a token. */
const COLD_FIRST_TOKEN = 100;
const COLD_PER_PROMPT_TOKEN = 0.5;
const COLD_PER_OUTPUT_TOKEN = 38;
/** The cold start counts as two answers of these sizes. */
const COLD_PROMPT_TOKENS = [0, 1000] as const;
const COLD_OUTPUT_TOKENS = 50;

/** An answer that was whole; times are milliseconds from the hand-over. */
export type ServedRequest = {
  cost: Cost;
  firstToken: number;
  total: number;
};

/** See the module. */
export class ServiceTimeEstimator {
  #weight = 0;
  #prompts = 0;
  #firstTokens = 0;
  #promptSquares = 0;
  #products = 0;
  #outputs = COLD_OUTPUT_TOKENS;
  #decoding = COLD_OUTPUT_TOKENS * COLD_PER_OUTPUT_TOKEN;

  constructor() {
    for (const prompt of COLD_PROMPT_TOKENS) {
      const time = COLD_FIRST_TOKEN + COLD_PER_PROMPT_TOKEN * prompt;
      this.#addFirstToken(prompt, time);
    }
  }

  /** Milliseconds from the hand-over to the end of the answer. */
  expectedTotal(cost: Cost): number {
    return this.expectedFirstToken(cost) +
      Math.max(0, cost.outputTokens - 1) * this.#decoding / this.#outputs;
  }

  /** Milliseconds from the hand-over to the first token. */
  expectedFirstToken(cost: Cost): number {
    const slope = this.#slope();
    const mean = this.#firstTokens / this.#weight;
    const meanPrompt = this.#prompts / this.#weight;
    return Math.max(0, mean + slope * (cost.promptTokens - meanPrompt));
  }

  /** Milliseconds from the hand-over within which most answers are whole. */
  conservativeTotal(cost: Cost): number {
    return MARGIN * this.expectedTotal(cost);
  }

  /** Milliseconds from the hand-over within which most first tokens come. */
  conservativeFirstToken(cost: Cost): number {
    return MARGIN * this.expectedFirstToken(cost);
  }

  observe(served: ServedRequest): void {
    this.#weight *= FORGETTING;
    this.#prompts *= FORGETTING;
    this.#firstTokens *= FORGETTING;
    this.#promptSquares *= FORGETTING;
    this.#products *= FORGETTING;
    this.#addFirstToken(served.cost.promptTokens, served.firstToken);
    const outputs = served.cost.outputTokens - 1;
    if (outputs > 0) {
      this.#outputs = this.#outputs * FORGETTING + outputs;
      this.#decoding = this.#decoding * FORGETTING +
        Math.max(0, served.total - served.firstToken);
    }
  }

  #addFirstToken(promptTokens: number, milliseconds: number): void {
    this.#weight += 1;
    this.#prompts += promptTokens;
    this.#firstTokens += milliseconds;
    this.#promptSquares += promptTokens * promptTokens;
    this.#products += promptTokens * milliseconds;
  }

  /** Milliseconds per prompt token; never negative. */
  #slope(): number {
    const spread = this.#weight * this.#promptSquares - this.#prompts ** 2;
    if (spread <= 1e-9 * this.#weight * this.#promptSquares) {
      return 0;
    }
    const together = this.#weight * this.#products -
      this.#prompts * this.#firstTokens;
    return Math.max(0, together / spread);
  }
}

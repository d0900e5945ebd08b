/**
 * Estimates how long one backend server, or one generation of servers, takes
 * for a request of a given cost.
 *
 * Engines differ in speed, and requests may have little time left. A request
 * granted to an engine that cannot complete it in time wastes its whole
 * prefill; so does one that was kept waiting because of an estimate from a
 * faster engine.
 *
 * The time to first token is a base plus a time per prompt token, by linear
 * regression with exponential forgetting. The decode time is proportional to
 * the output tokens.
 *
 * Estimates that must fit a deadline are half as long again as the mean.
 * Responses vary in length: at a slow engine where the mean just fits, every
 * second response would be late after its whole prefill, while a refusal sends
 * the request to a faster engine. At a load of twice the capacity this halves
 * the prefill of late responses. A margin of two would refuse the longest work
 * at all engines.
 * @module
 */
import type { Cost } from "../queueing/waiting_reservation.ts";

/** Factor of the conservative estimates. */
const MARGIN = 1.5;
/** Factor by which each response reduces the weight of those before it. */
const FORGETTING = 0.98;
/** Initial estimate: milliseconds to the first token, without the prefill. */
const INITIAL_FIRST_TOKEN = 100;
/**
 * Initial estimate: milliseconds per prompt token, i.e. 2,000 tokens per
 * second.
 */
const INITIAL_PER_PROMPT_TOKEN = 0.5;
/** Initial estimate: milliseconds per output token. */
const INITIAL_PER_OUTPUT_TOKEN = 38;
/** The initial estimate counts as two responses, to prompts of these sizes. */
const INITIAL_PROMPT_TOKENS = [0, 1000] as const;
/** Output tokens that the initial estimate counts as. */
const INITIAL_OUTPUT_TOKENS = 50;

/** A complete response; times are milliseconds from sending the request. */
export type ServedRequest = {
  cost: Cost;
  firstToken: number;
  total: number;
};

/** Learns service times from complete responses. */
export class ServiceTimeEstimator {
  /** Weighted number of responses; the sums below are weighted alike. */
  #weight = 0;
  #promptSum = 0;
  #firstTokenSum = 0;
  #promptSquareSum = 0;
  #productSum = 0;
  #outputTokens = INITIAL_OUTPUT_TOKENS;
  #decodeTime = INITIAL_OUTPUT_TOKENS * INITIAL_PER_OUTPUT_TOKEN;

  constructor() {
    for (const prompt of INITIAL_PROMPT_TOKENS) {
      const time = INITIAL_FIRST_TOKEN + INITIAL_PER_PROMPT_TOKEN * prompt;
      this.#addFirstToken(prompt, time);
    }
  }

  /** Milliseconds from sending the request to the end of the response. */
  expectedTotal(cost: Cost): number {
    return this.expectedFirstToken(cost) +
      Math.max(0, cost.outputTokens - 1) * this.#decodeTime /
        this.#outputTokens;
  }

  /** Milliseconds from sending the request to the first token. */
  expectedFirstToken(cost: Cost): number {
    const slope = this.#slope();
    const mean = this.#firstTokenSum / this.#weight;
    const meanPrompt = this.#promptSum / this.#weight;
    return Math.max(0, mean + slope * (cost.promptTokens - meanPrompt));
  }

  /** Milliseconds within which most responses are complete. */
  conservativeTotal(cost: Cost): number {
    return MARGIN * this.expectedTotal(cost);
  }

  /** Milliseconds within which most responses have their first token. */
  conservativeFirstToken(cost: Cost): number {
    return MARGIN * this.expectedFirstToken(cost);
  }

  observe(served: ServedRequest): void {
    this.#weight *= FORGETTING;
    this.#promptSum *= FORGETTING;
    this.#firstTokenSum *= FORGETTING;
    this.#promptSquareSum *= FORGETTING;
    this.#productSum *= FORGETTING;
    this.#addFirstToken(served.cost.promptTokens, served.firstToken);
    const decodedTokens = served.cost.outputTokens - 1;
    if (decodedTokens > 0) {
      this.#outputTokens = this.#outputTokens * FORGETTING + decodedTokens;
      this.#decodeTime = this.#decodeTime * FORGETTING +
        Math.max(0, served.total - served.firstToken);
    }
  }

  #addFirstToken(promptTokens: number, milliseconds: number): void {
    this.#weight += 1;
    this.#promptSum += promptTokens;
    this.#firstTokenSum += milliseconds;
    this.#promptSquareSum += promptTokens * promptTokens;
    this.#productSum += promptTokens * milliseconds;
  }

  /** Milliseconds per prompt token; never negative. */
  #slope(): number {
    const variance = this.#weight * this.#promptSquareSum -
      this.#promptSum ** 2;
    if (variance <= 1e-9 * this.#weight * this.#promptSquareSum) {
      return 0;
    }
    const covariance = this.#weight * this.#productSum -
      this.#promptSum * this.#firstTokenSum;
    return Math.max(0, covariance / variance);
  }
}

/**
 * Estimates the value of a response from its size, relative to other responses
 * of its tier and route.
 *
 * In a burst not all requests of a tier can be served. A large response is
 * worth several short ones and takes correspondingly longer. Ordered by time
 * alone, the largest responses of each tier would never be served.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/**
 * Value of a response of size zero, relative to one of mean size. This and the
 * next three constants state what responses are worth to users.
 */
const MINIMUM_VALUE = 0.3;
/** Value that a response gains for each multiple of the mean size. */
const VALUE_PER_MEAN_SIZE = 0.7;
/** Maximum value, as a multiple of the mean response's. */
const MAXIMUM_VALUE = 4;
/** Number of prompt tokens that have the value of one token of the response. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
/**
 * Weight of the newest size in the mean, which covers about the last hundred.
 */
const NEWEST_WEIGHT = 0.01;
/** Number of first sizes that are averaged with equal weights. */
const FIRST_SIZES = 1 / NEWEST_WEIGHT;

type Mean = { size: number; count: number };

/** Learns the mean response size of each priority class (tier and route). */
export class ResponseValue {
  readonly #means = new Map<string, Mean>();

  /**
   * Returns the value of a response, which is 1 at the mean size of its
   * priority class, and updates the mean.
   */
  observe(priorityClass: string, cost: Cost): number {
    const size = weightedTokens(cost);
    if (size === 0) return 1;
    const mean = this.#means.get(priorityClass) ?? { size: 0, count: 0 };
    this.#means.set(priorityClass, mean);
    mean.count = Math.min(FIRST_SIZES, mean.count + 1);
    mean.size += (size - mean.size) / mean.count;
    return valueOfSize(size, mean.size);
  }

  /** Returns the value of a response without updating the mean. */
  valueOf(priorityClass: string, cost: Cost): number {
    const size = weightedTokens(cost);
    const mean = this.#means.get(priorityClass);
    return size === 0 || mean === undefined ? 1 : valueOfSize(size, mean.size);
  }
}

function valueOfSize(size: number, meanSize: number): number {
  const value = MINIMUM_VALUE + VALUE_PER_MEAN_SIZE * size / meanSize;
  return Math.min(MAXIMUM_VALUE, value);
}

/** Returns the size that a response is valued by; 0 for a plain call. */
export function weightedTokens(cost: Cost): number {
  if (cost.promptTokens === 0) return 0;
  return cost.promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * cost.outputTokens;
}

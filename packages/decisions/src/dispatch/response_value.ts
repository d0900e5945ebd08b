/**
 * What one answer is worth beside others of its tier, by its size.
 *
 * In a burst not all of a tier can be served. A large answer is worth several
 * short ones and takes as much longer: by time alone the largest of each tier
 * would never be served then.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";

/** Of an answer without any size, and for each mean size: the users' own weights. */
const LEAST_VALUE = 0.3;
const VALUE_PER_SIZE = 0.7;
/** Times the mean answer, at most: likewise. */
const LARGEST_VALUE = 4;
/** Tokens of a prompt that count as much as one of the answer: likewise. */
const PROMPT_TOKENS_PER_TOKEN = 10;
/** Weight of the newest size in the mean: about the last hundred count. */
const NEWEST_WEIGHT = 0.01;
/** Sizes that are averaged evenly before that. */
const FIRST_SIZES = 1 / NEWEST_WEIGHT;

type Mean = { size: number; count: number };

/** Learns the mean size of each tier's answers. */
export class AnswerValue {
  readonly #means = new Map<string, Mean>();

  /** 1 for an answer of the tier's mean size; takes it into the mean. */
  observe(kind: string, cost: Cost): number {
    const size = sizeOf(cost);
    if (size === 0) return 1;
    const mean = this.#means.get(kind) ?? { size: 0, count: 0 };
    this.#means.set(kind, mean);
    mean.count = Math.min(FIRST_SIZES, mean.count + 1);
    mean.size += (size - mean.size) / mean.count;
    const value = LEAST_VALUE + VALUE_PER_SIZE * size / mean.size;
    return Math.min(LARGEST_VALUE, value);
  }
}

/** Tokens that the answer's value goes by; 0 for a plain call. */
export function sizeOf(cost: Cost): number {
  if (cost.promptTokens === 0) return 0;
  return cost.promptTokens + PROMPT_TOKENS_PER_TOKEN * cost.outputTokens;
}

/**
 * Cost model of the simulated engines. A step at speed 1 takes `STEP_BASE` for
 * reading the weights, plus a time for each decoding sequence, each prefilled
 * token and each token of context that is attended to. The values give 20 ms
 * between tokens at 16 sequences and about 32 ms at 48, and 16,000 prefilled
 * tokens per second.
 * @module
 */
import type { RequestClass, SimulatedRequest } from "./request.ts";

/** Fixed milliseconds of a step at speed 1. */
export const STEP_BASE = 14;
/** Milliseconds per decoding sequence. */
export const STEP_PER_SEQUENCE = 0.25;
/** Milliseconds per token prefilled in the step. */
export const STEP_PER_PREFILL_TOKEN = 0.06;
/** Milliseconds per token of context of the decoding sequences. */
export const STEP_PER_CONTEXT_TOKEN = 0.00015;
/** Maximum number of tokens prefilled in one step (chunked prefill). */
export const MAX_PREFILL_TOKENS_PER_STEP = 512;
/** Maximum number of sequences in a batch. */
export const MAXIMUM_SEQUENCES = 48;

/** Describes one engine of a deployment. */
export type EngineSettings = {
  name: string;
  dataCentre: string;
  /** Work done per millisecond, relative to a reference engine of speed 1. */
  speed: number;
  /** Tokens of running sequences that fit into memory. */
  memoryTokens: number;
  /** Tokens of cached prefixes that fit into memory in addition. */
  prefixCacheTokens: number;
};

function estimateWork(
  prefilledTokens: number,
  promptTokens: number,
  outputTokens: number,
): number {
  const contextTokens = promptTokens + outputTokens / 2;
  const workPerOutputToken = STEP_BASE / MAXIMUM_SEQUENCES + STEP_PER_SEQUENCE +
    contextTokens * STEP_PER_CONTEXT_TOKEN;
  return prefilledTokens * STEP_PER_PREFILL_TOKEN +
    outputTokens * workPerOutputToken;
}

/**
 * Returns the minimum work, in milliseconds at speed 1, that any schedule
 * spends on the request: its prefix is cached and each of its steps is shared
 * by a full batch.
 */
export function minWork(request: SimulatedRequest): number {
  const { promptTokens, prefixTokens, outputTokens } = request;
  return estimateWork(promptTokens - prefixTokens, promptTokens, outputTokens);
}

/** Returns the {@link minWork} of a request of the class's mean size. */
export function typicalWork(requestClass: RequestClass): number {
  const { promptTokens, prefixTokens, outputTokens } = requestClass;
  return estimateWork(promptTokens - prefixTokens, promptTokens, outputTokens);
}

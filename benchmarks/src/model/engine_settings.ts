/**
 * Costs of the engine model. A step of speed 1 takes `stepBase` for reading
 * the weights, more for each sequence, each prefilled token and each token of
 * context attended to. The figures give 20 ms between tokens at 16 sequences
 * and about 32 ms at 48, and 16,000 prefilled tokens a second.
 * @module
 */
import type { RequestClass, SimulatedRequest } from "./request.ts";

/** Milliseconds of a step at speed 1. */
export const STEP_BASE = 14;
/** Milliseconds for each decoding sequence. */
export const STEP_PER_SEQUENCE = 0.25;
/** Milliseconds for each token prefilled in the step. */
export const STEP_PER_PREFILL_TOKEN = 0.06;
/** Milliseconds for each token of context of the decoding sequences. */
export const STEP_PER_CONTEXT_TOKEN = 0.00015;
/** Tokens prefilled in one step at most (chunked prefill). */
export const PREFILL_CHUNK = 512;
/** Sequences in one batch at most. */
export const MAXIMUM_SEQUENCES = 48;

/** One engine of a deployment. */
export type EngineSettings = {
  name: string;
  dataCentre: string;
  /** Work done a millisecond; 1 is the reference. */
  speed: number;
  /** Tokens of running sequences that fit. */
  memoryTokens: number;
  /** Tokens of prefixes that fit beside them. */
  prefixCacheTokens: number;
};

function work(
  prefilled: number,
  promptTokens: number,
  outputTokens: number,
): number {
  const context = promptTokens + outputTokens / 2;
  const perToken = STEP_BASE / MAXIMUM_SEQUENCES + STEP_PER_SEQUENCE +
    context * STEP_PER_CONTEXT_TOKEN;
  return prefilled * STEP_PER_PREFILL_TOKEN + outputTokens * perToken;
}

/**
 * Least work (milliseconds at speed 1) that any schedule spends on a request:
 * its prefix is cached and each of its steps is shared by a full batch.
 */
export function leastWork(request: SimulatedRequest): number {
  const { promptTokens, prefixTokens, outputTokens } = request;
  return work(promptTokens - prefixTokens, promptTokens, outputTokens);
}

/** {@link leastWork} of a class's typical request. */
export function typicalWork(requestClass: RequestClass): number {
  const { promptTokens, prefixTokens, outputTokens } = requestClass;
  return work(promptTokens - prefixTokens, promptTokens, outputTokens);
}

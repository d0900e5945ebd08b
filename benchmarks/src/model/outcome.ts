/** The outcome of a request, as recorded by its caller and the engines. @module */
import type { SimulatedRequest } from "./request.ts";

/** Times are milliseconds of virtual time; tokens are counted by the engines. */
export type Outcome = {
  request: SimulatedRequest;
  /** When an engine first admitted the request to its batch. */
  startedAt: number | undefined;
  firstTokenAt: number | undefined;
  finishedAt: number | undefined;
  /** When the caller learned that there will be no response, or gave up. */
  refusedAt: number | undefined;
  /** Why there was no response; `undefined` if there was one or it is pending. */
  reason: string | undefined;
  prefilledTokens: number;
  /** Prefix tokens prefilled although another live engine had cached them. */
  repeatedTokens: number;
  /** Number of times that the request was submitted to an engine. */
  dispatchCount: number;
};

/** Creates the outcome of a request that has just arrived. */
export function createOutcome(request: SimulatedRequest): Outcome {
  return {
    request,
    startedAt: undefined,
    firstTokenAt: undefined,
    finishedAt: undefined,
    refusedAt: undefined,
    reason: undefined,
    prefilledTokens: 0,
    repeatedTokens: 0,
    dispatchCount: 0,
  };
}

/**
 * Tells whether the request counts towards goodput: it finished by its deadline
 * and its first token met its goal.
 */
export function isGood(outcome: Outcome): boolean {
  const { request, firstTokenAt, finishedAt } = outcome;
  if (firstTokenAt === undefined || finishedAt === undefined) return false;
  const { firstTokenGoal, deadline } = request.requestClass;
  return firstTokenAt - request.arrival <= firstTokenGoal &&
    finishedAt - request.arrival <= deadline;
}

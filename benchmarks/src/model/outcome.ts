/** What became of a request, as its caller and its engines saw it. @module */
import type { SimulatedRequest } from "./request.ts";

/** Times are milliseconds of virtual time, tokens are counted at the engines. */
export type Outcome = {
  request: SimulatedRequest;
  /** When an engine took it into its batch. */
  startedAt: number | undefined;
  firstTokenAt: number | undefined;
  finishedAt: number | undefined;
  /** When its caller was told that it will not be answered. */
  refusedAt: number | undefined;
  /** `undefined` when answered or still unanswered. */
  reason: string | undefined;
  prefilledTokens: number;
  /** Prefix tokens prefilled while another live engine held them. */
  repeatedTokens: number;
  dispatches: number;
};

/** An outcome of which nothing is known yet. */
export function pendingOutcome(request: SimulatedRequest): Outcome {
  return {
    request,
    startedAt: undefined,
    firstTokenAt: undefined,
    finishedAt: undefined,
    refusedAt: undefined,
    reason: undefined,
    prefilledTokens: 0,
    repeatedTokens: 0,
    dispatches: 0,
  };
}

/** Answered whole by the deadline, with the first token within its goal. */
export function isGood(outcome: Outcome): boolean {
  const { request, firstTokenAt, finishedAt } = outcome;
  if (firstTokenAt === undefined || finishedAt === undefined) return false;
  const { firstTokenGoal, deadline } = request.requestClass;
  return firstTokenAt - request.arrival <= firstTokenGoal &&
    finishedAt - request.arrival <= deadline;
}

/** Record of one call, as seen by its caller. @module */

/** A response that the connection delivered to its end. */
export type AnsweredOutcome = {
  type: "answered";
  status: number;
  /** The generated text, or the body of a plain service. */
  text: string;
  /** False if a stream ended without its end marker. */
  ended: boolean;
};

/** A refusal: a problem document sent by the entry. */
export type RefusedOutcome = {
  type: "refused";
  status: number;
  reason: string;
  ran: "no" | "unknown" | "yes";
  /** Value of the `Retry-After` header in seconds. */
  retryAfter?: number;
};

/** The connection failed, or closed before the end of the response. */
export type BrokenOutcome = { type: "broken"; detail: string; text: string };

/** Outcome of a call. */
export type CallOutcome = AnsweredOutcome | RefusedOutcome | BrokenOutcome;

/** One call. Times are milliseconds since 1970 by the caller's clock. */
export type CallRecord = {
  /**
   * Unique to a request. A retry has the same marker, unless it may run again
   * and `checkDispatchedOnce` counts the runs.
   */
  marker: string;
  service: string;
  /** Rank of the tier; 0 is the most urgent. */
  tierRank?: number;
  idempotencyKey?: string;
  sentAt: number;
  endedAt: number;
  outcome: CallOutcome;
};

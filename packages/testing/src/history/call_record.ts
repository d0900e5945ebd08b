/** What a caller saw of one request that it sent. @module */

/** The whole answer, as far as the connection says. */
export type Answered = {
  type: "answered";
  status: number;
  /** The generated text, or the body of a plain service. */
  text: string;
  /** False when a stream ended without its end marker. */
  ended: boolean;
};

/** A problem document of the entry. */
export type Refused = {
  type: "refused";
  status: number;
  reason: string;
  ran: "no" | "unknown" | "yes";
  /** Seconds of the `Retry-After` header. */
  retryAfter?: number;
};

/** The connection failed, or was cut within the answer. */
export type Broken = { type: "broken"; detail: string; text: string };

/** How a call ended. */
export type CallOutcome = Answered | Refused | Broken;

/** One call. Instants are milliseconds of the caller's clock. */
export type CallRecord = {
  /** Unique to a request; the same when a caller sends it again. */
  marker: string;
  service: string;
  /** 0 is the most urgent. */
  tierRank?: number;
  idempotencyKey?: string;
  sentAt: number;
  endedAt: number;
  outcome: CallOutcome;
};

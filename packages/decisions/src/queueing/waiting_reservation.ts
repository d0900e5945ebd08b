/** A reservation as it waits for room. @module */

/** Work expected of a backend server: tokens for an engine; a plain call is `{0, 1}`. */
export type Cost = { promptTokens: number; outputTokens: number };

/** One waiting reservation. Times are milliseconds of the caller's own clock. */
export type WaitingReservation = {
  id: string;
  /** 0 is served first. */
  tierRank: number;
  organisation: string;
  /** Share beside other organisations of the same tier; above 0. */
  weight: number;
  cost: Cost;
  /** Instant by which the answer must be whole. */
  deadline: number;
  /** May have crashed a server: granted only when `admits` says so. */
  suspect?: boolean;
  arrived: number;
};

/** What became of an offered reservation. */
export type OfferResult =
  | { queued: true; evicted: WaitingReservation[] }
  | { queued: false; reason: "queue_full" | "deadline" };

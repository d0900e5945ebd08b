/** A reservation that waits for capacity on a backend server. @module */

/**
 * Expected work of a request in tokens. A call to a plain service costs 0
 * prompt tokens and 1 output token.
 */
export type Cost = { promptTokens: number; outputTokens: number };

/**
 * A reservation that waits in the queue. Times are in milliseconds on the clock
 * of the code that calls the queue.
 */
export type WaitingReservation = {
  id: string;
  /** Rank of the tier; 0 is served first. */
  tierRank: number;
  organisation: string;
  /**
   * Fair-queueing weight relative to other organisations of the same tier;
   * above 0.
   */
  weight: number;
  cost: Cost;
  /** Instant by which the response must be complete. */
  deadline: number;
  /**
   * The request may have crashed a server. It is granted only when `admits`
   * allows it, and then runs alone.
   */
  suspect?: boolean;
  arrived: number;
};

/** The result of offering a reservation to the queue. */
export type OfferResult =
  | { queued: true; evicted: WaitingReservation[] }
  | { queued: false; reason: "queue_full" | "deadline" };

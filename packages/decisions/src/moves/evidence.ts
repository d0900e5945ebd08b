/** Counts of a route's calls while two versions serve it. @module */

/** Counts of calls that ended within one interval. */
export type CallCounts = {
  /** All calls that ended, including failed ones. */
  ended: number;
  failed: number;
  /** Calls slower than the route's threshold. */
  slow: number;
};

/**
 * Counts of a route's calls on the old (`from`) and the new (`to`) version,
 * over the same interval.
 */
export type RouteEvidence = {
  route: string;
  /**
   * Part of the calls that is compared by itself, such as those of one data
   * centre; all calls of the route if absent.
   */
  stratum?: string;
  from: CallCounts;
  to: CallCounts;
};

export function zeroCounts(): CallCounts {
  return { ended: 0, failed: 0, slow: 0 };
}

/** Adds `more` to `sum` in place. */
export function addCounts(sum: CallCounts, more: CallCounts): void {
  sum.ended += more.ended;
  sum.failed += more.failed;
  sum.slow += more.slow;
}

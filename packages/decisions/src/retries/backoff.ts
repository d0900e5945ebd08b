/**
 * Exponential backoff between placements of one request. Without jitter,
 * requests that lost the same server would be placed again at the same moment.
 * The initial backoff is about one round trip, the maximum about the time in
 * which an engine's queue turns over.
 * @module
 */

/** Interval of the first attempt in milliseconds. */
const INITIAL_BACKOFF = 5;
/** Maximum interval in milliseconds. */
const MAXIMUM_BACKOFF = 1000;

/**
 * Returns the milliseconds to wait: half of the interval, which doubles with
 * each attempt, plus a random part of the other half. `attempt` counts from 0;
 * `random` returns a number in [0, 1).
 */
export function backoff(attempt: number, random: () => number): number {
  const interval = Math.min(INITIAL_BACKOFF * 2 ** attempt, MAXIMUM_BACKOFF);
  return interval / 2 + random() * interval / 2;
}

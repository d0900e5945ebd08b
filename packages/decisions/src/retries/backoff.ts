/**
 * How long to wait before a placement is repeated. Without the random part,
 * requests that lost the same server would come back in one wave. The first
 * wait is about a round trip, the longest about the time in which an engine's
 * queue turns over.
 * @module
 */

const FIRST_BACKOFF = 5;
const LONGEST_BACKOFF = 1000;

/**
 * Milliseconds to wait, between half and the whole of a doubling span.
 * `attempt` counts from 0; `random` gives a number in [0, 1).
 */
export function backoff(attempt: number, random: () => number): number {
  const span = Math.min(FIRST_BACKOFF * 2 ** attempt, LONGEST_BACKOFF);
  return span / 2 + random() * span / 2;
}

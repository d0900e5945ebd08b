/** Computes when a refused caller may retry. @module */
import type { GrantRefusalReason, GrantRequest } from "./grant_request.ts";

/** Delay in milliseconds while the service has no server. */
const RETRY_WITHOUT_SERVER = 300;
/**
 * Maximum delay in milliseconds while the service has servers. This is longer
 * than a burst, since a caller that retries within the same burst is refused
 * for good.
 */
const MAXIMUM_DELAY = 5000;
/**
 * Maximum delay as a fraction of the time to the deadline: callers wait no
 * longer.
 */
const MAXIMUM_FRACTION_OF_TIME_LEFT = 1 / 3;
/**
 * Maximum fraction of the delay that jitter takes off, so that callers refused
 * together do not retry together.
 */
const JITTER_FRACTION = 0.5;

/** Returns the milliseconds after which a refused caller may retry. */
export function retryAfter(
  request: GrantRequest,
  reason: GrantRefusalReason,
  now: number,
): number {
  if (reason === "no_server") return RETRY_WITHOUT_SERVER;
  return maximumDelay(request, now) * (1 - JITTER_FRACTION * request.jitter);
}

/** Milliseconds that a refused caller waits at most before it retries. */
export function maximumDelay({ deadline }: GrantRequest, now: number): number {
  const timeLeft = Math.max(0, deadline - now);
  return Math.min(MAXIMUM_DELAY, timeLeft * MAXIMUM_FRACTION_OF_TIME_LEFT);
}

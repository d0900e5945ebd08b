/** When a caller that is refused may come back. @module */
import type { GrantRefusalReason, GrantRequest } from "./grant_request.ts";

/** Milliseconds while there is no server. */
const RETRY_WITHOUT_SERVER = 300;
/**
 * Milliseconds after a refusal for lack of room: longer than a burst, as who comes
 * back within one is refused for good. Callers wait a third of their time left at
 * most. Spread over the upper half of it, so that those refused together don't
 * return together.
 */
const LONGEST_RETRY = 5000;
const LONGEST_RETRY_PART = 1 / 3;
const RETRY_SPREAD_PART = 0.5;

/** Milliseconds from `now` on. */
export function retryAfter(
  ask: GrantRequest,
  reason: GrantRefusalReason,
  now: number,
): number {
  if (reason === "no_server") return RETRY_WITHOUT_SERVER;
  const longest = Math.min(
    LONGEST_RETRY,
    Math.max(0, ask.deadline - now) * LONGEST_RETRY_PART,
  );
  return longest * (1 - RETRY_SPREAD_PART * ask.jitter);
}

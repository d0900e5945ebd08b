/** What a request's outcome says about its backend server. @module */
import type { RunOutcome } from "./backend_client.ts";

/**
 * Whether the outcome counts as a failure of the server: any failure other than
 * a cancellation, or a response with a status of 500 or above.
 */
export function isServerFailure(outcome: RunOutcome): boolean {
  return outcome.kind === "complete"
    ? outcome.status >= 500
    : outcome.reason !== "cancelled";
}

/** Returns the outcome as the server's concurrency limit counts it. */
export function limitOutcome(
  outcome: RunOutcome,
): "ok" | "failed" | "cancelled" {
  if (isServerFailure(outcome)) return "failed";
  return outcome.kind === "complete" ? "ok" : "cancelled";
}

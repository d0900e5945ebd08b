/** What a run's end says about its backend server. @module */
import type { RunOutcome } from "./backend_client.ts";

/** Whether the end speaks against the server and not its caller. */
export function serverFailed(outcome: RunOutcome): boolean {
  return outcome.kind === "whole"
    ? outcome.status >= 500
    : outcome.reason !== "cancelled";
}

/** The end as the server's limit counts it. */
export function limitOutcome(
  outcome: RunOutcome,
): "ok" | "failed" | "cancelled" {
  if (serverFailed(outcome)) return "failed";
  return outcome.kind === "whole" ? "ok" : "cancelled";
}

/** Records request outcomes and waiting requests in the metrics. @module */
import type { WaitingRequestLimiter } from "@sycamorepulley/decisions";
import type { Metrics } from "../common/metrics.ts";
import type { ResponseSink } from "./response_sink.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestOutcome } from "./request_context.ts";

/** Label value for requests whose service and tier are not known. */
const UNKNOWN_LABEL = "unknown";

/** Counts a request's outcome under its service and tier. */
export function recordOutcome(
  metrics: Metrics,
  labels: { service: string; tier: string },
  outcome: RequestOutcome,
): void {
  if (outcome.kind === "answered") {
    metrics.answers.inc(labels);
    return;
  }
  const { reason, ran } = outcome.kind === "refused"
    ? outcome.refusal
    : { reason: "caller_left", ran: outcome.ran };
  metrics.refusals.inc({ ...labels, reason, ran });
}

/** Refuses and counts a request whose service and tier were not resolved. */
export function refuseUnresolved(
  metrics: Metrics,
  sink: ResponseSink,
  refusal: Refusal,
): void {
  const { reason, ran } = refusal;
  metrics.refusals.inc({
    service: UNKNOWN_LABEL,
    tier: UNKNOWN_LABEL,
    reason,
    ran,
  });
  sink.refuse(refusal);
}

/** Sets each service's gauge of waiting requests and returns their sum. */
export function recordWaiting(
  metrics: Metrics,
  waitingLimiter: WaitingRequestLimiter,
  services: readonly { name: string }[],
): number {
  let sum = 0;
  for (const { name } of services) {
    const { requests } = waitingLimiter.usageOf(name);
    metrics.waiting.set({ service: name }, requests);
    sum += requests;
  }
  return sum;
}

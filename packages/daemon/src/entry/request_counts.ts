/** Counting how requests end. @module */
import type { WaitingRequestLimiter } from "@sycamorepulley/decisions";
import type { Metrics } from "../common/metrics.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestOutcome } from "./request_surroundings.ts";

/** Label of requests whose service or tier is not known. */
const UNKNOWN = "unknown";

/** Counts a request's end under its service and tier. */
export function countOutcome(
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

/** Refuses and counts a request that named no service and tier that are known. */
export function refuseUnknown(
  metrics: Metrics,
  sink: AnswerSink,
  refusal: Refusal,
): void {
  const { reason, ran } = refusal;
  metrics.refusals.inc({ service: UNKNOWN, tier: UNKNOWN, reason, ran });
  sink.refuse(refusal);
}

/** Sets each service's gauge of waiting requests; gives their sum. */
export function countWaiting(
  metrics: Metrics,
  allowance: WaitingRequestLimiter,
  services: readonly { name: string }[],
): number {
  let sum = 0;
  for (const { name } of services) {
    const { requests } = allowance.usageOf(name);
    metrics.waiting.set({ service: name }, requests);
    sum += requests;
  }
  return sum;
}

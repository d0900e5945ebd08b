/** Checks that a higher tier is never shed before a lower one. @module */
import type { CallRecord } from "../history/call_record.ts";
import type { RunRecord } from "../history/run_record.ts";
import type { Violation } from "./violation.ts";

/** Reasons of refusals for lack of capacity; other reasons do not shed load. */
export const SHEDDING_REASONS: ReadonlySet<string> = new Set([
  "queue_full",
  "evicted",
  "tier_shed",
  "service_waiting_full",
  "service_memory_full",
]);

/**
 * Finds calls that were shed although another call of the same service, in a
 * lower tier, was waiting all that time. `slack` is a tolerance in
 * milliseconds for messages in transit. Callers and servers must use the same
 * clock.
 */
export function checkShedOrder(
  calls: CallRecord[],
  runs: RunRecord[],
  { slack = 0 }: { slack?: number } = {},
): Violation[] {
  const startedAt = new Map(runs.map((run) => [run.marker, run.startedAt]));
  const waitedUntil = (call: CallRecord) =>
    startedAt.get(call.marker) ?? call.endedAt;
  return calls.filter(wasShed).flatMap((shed) => {
    const lowerRanked = calls.find((other) =>
      other.service === shed.service &&
      rankOf(other) > rankOf(shed) &&
      other.sentAt + slack <= shed.sentAt &&
      waitedUntil(other) >= shed.endedAt + slack
    );
    return lowerRanked === undefined ? [] : [{
      check: "order of shedding",
      marker: shed.marker,
      detail: `shed with rank ${rankOf(shed)} while ${lowerRanked.marker} ` +
        `of rank ${rankOf(lowerRanked)} waited`,
    }];
  });
}

function wasShed({ outcome }: CallRecord): boolean {
  return outcome.type === "refused" && SHEDDING_REASONS.has(outcome.reason);
}

function rankOf({ tierRank = 0 }: CallRecord): number {
  return tierRank;
}

/** A higher tier is never shed before a lower one. @module */
import type { CallRecord } from "../history/call_record.ts";
import type { RunRecord } from "../history/run_record.ts";
import type { Violation } from "./violation.ts";

/** Refusals for want of room; other refusals shed nothing. */
export const SHEDDING_REASONS: ReadonlySet<string> = new Set([
  "queue_full",
  "evicted",
  "tier_shed",
  "service_waiting_full",
  "service_memory_full",
]);

/**
 * Finds calls that were shed while a less urgent call of the same service
 * waited through all of their time. `slack` milliseconds allow for messages on
 * their way. The clocks of callers and servers must be the same.
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
    const spared = calls.find((other) =>
      other.service === shed.service &&
      rankOf(other) > rankOf(shed) &&
      other.sentAt + slack <= shed.sentAt &&
      waitedUntil(other) >= shed.endedAt + slack
    );
    return spared === undefined ? [] : [{
      check: "order of shedding",
      marker: shed.marker,
      detail: `shed with rank ${rankOf(shed)} while ${spared.marker} ` +
        `of rank ${rankOf(spared)} waited`,
    }];
  });
}

function wasShed({ outcome }: CallRecord): boolean {
  return outcome.type === "refused" && SHEDDING_REASONS.has(outcome.reason);
}

function rankOf({ tierRank = 0 }: CallRecord): number {
  return tierRank;
}

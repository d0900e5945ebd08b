/** Checks that lower tiers were shed before higher ones. @module */
import type { Outcome } from "../model/outcome.ts";

/**
 * Milliseconds after the arrival and before the refusal of a request in which
 * the start of another one is no violation, since messages in flight may cross.
 */
const IN_FLIGHT_TOLERANCE = 5;

/**
 * Counts requests that ended without being started although a request of a
 * lower tier was started while they waited. If engines differ in speed, this
 * includes requests that no engine with free capacity could have completed in
 * time.
 */
export function countSheddingViolations(outcomes: readonly Outcome[]): number {
  const ranks = [...new Set(outcomes.map(rankOf))].sort((a, b) => a - b);
  let violations = 0;
  for (const rank of ranks) {
    const starts = outcomes.filter((outcome) => rankOf(outcome) > rank)
      .flatMap((outcome) => outcome.startedAt ?? [])
      .sort((a, b) => a - b);
    for (const outcome of outcomes) {
      if (rankOf(outcome) !== rank || outcome.startedAt !== undefined) continue;
      if (outcome.refusedAt === undefined) continue;
      const next = firstAfter(
        starts,
        outcome.request.arrival + IN_FLIGHT_TOLERANCE,
      );
      if (next < outcome.refusedAt - IN_FLIGHT_TOLERANCE) violations += 1;
    }
  }
  return violations;
}

function rankOf(outcome: Outcome): number {
  return outcome.request.requestClass.tierRank;
}

/** Returns the first of the sorted times after `time`, Infinity if none is. */
function firstAfter(times: readonly number[], time: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! <= time) low = middle + 1;
    else high = middle;
  }
  return times[low] ?? Infinity;
}

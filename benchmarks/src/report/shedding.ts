/** Checks the order in which tiers were shed. @module */
import type { Outcome } from "../model/outcome.ts";

/** Messages on their way may cross; starts later than this are decisions. */
const CROSSING = 5;

/**
 * Requests that ended without having run although, while they waited, a request
 * of a lower tier was started. Where engines are unlike, this counts also those
 * that no engine with room could have answered in time.
 */
export function sheddingViolations(outcomes: readonly Outcome[]): number {
  const ranks = [...new Set(outcomes.map(rankOf))].sort((a, b) => a - b);
  let violations = 0;
  for (const rank of ranks) {
    const starts = outcomes.filter((one) => rankOf(one) > rank)
      .flatMap((one) => one.startedAt ?? [])
      .sort((a, b) => a - b);
    for (const outcome of outcomes) {
      if (rankOf(outcome) !== rank || outcome.startedAt !== undefined) continue;
      if (outcome.refusedAt === undefined) continue;
      const next = firstAfter(starts, outcome.request.arrival + CROSSING);
      if (next < outcome.refusedAt - CROSSING) violations += 1;
    }
  }
  return violations;
}

function rankOf(outcome: Outcome): number {
  return outcome.request.requestClass.tierRank;
}

/** The first of the sorted times that is later; Infinity if none is. */
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

/** Checks the order in which tiers were shed. @module */
import type { Outcome } from "../model/outcome.ts";

/** Messages on their way may cross; later starts than this are decisions. */
const CROSSING = 5;

/**
 * Requests that ended without having run although a request of a lower tier
 * waited at that time and was started afterwards.
 */
export function sheddingViolations(outcomes: readonly Outcome[]): number {
  const ranks = [...new Set(outcomes.map(rankOf))].sort((a, b) => a - b);
  let violations = 0;
  for (const rank of ranks) {
    const lower = outcomes.filter((one) => rankOf(one) > rank);
    const latestStart = startsByArrival(lower);
    for (const outcome of outcomes) {
      if (rankOf(outcome) !== rank || outcome.startedAt !== undefined) continue;
      const { refusedAt } = outcome;
      if (refusedAt === undefined) continue;
      if (latestStart(refusedAt) > refusedAt + CROSSING) violations += 1;
    }
  }
  return violations;
}

function rankOf(outcome: Outcome): number {
  return outcome.request.requestClass.tierRank;
}

/** Latest start among the outcomes that arrived by a given time. */
function startsByArrival(
  outcomes: readonly Outcome[],
): (time: number) => number {
  const sorted = [...outcomes].sort((left, right) =>
    left.request.arrival - right.request.arrival
  );
  const latest: number[] = [];
  for (const { startedAt } of sorted) {
    const before = latest.at(-1) ?? -Infinity;
    latest.push(Math.max(before, startedAt ?? -Infinity));
  }
  return (time) => {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (sorted[middle]!.request.arrival <= time) low = middle + 1;
      else high = middle;
    }
    return low === 0 ? -Infinity : latest[low - 1]!;
  };
}

/**
 * Gathers the ends of calls at one process until they are judged or told to
 * the move's driver. A call counts as slow against a threshold that is the
 * same for both versions at any moment, so whatever slows both marks both.
 * @module
 */
import { addCounts, noCalls } from "./evidence.ts";
import type { CallCounts, RouteEvidence } from "./evidence.ts";
import { RunningQuantile } from "./running_quantile.ts";

/** One call in ten of the old version is over the threshold. */
const SLOW_QUANTILE = 0.9;

/** Routes counted apart; further ones are counted together. */
const MOST_ROUTES = 64;
const OTHER_ROUTES = "*";

/** Which of the move's versions served a call. */
export type VersionSide = "from" | "to";

type RouteTally = {
  threshold: RunningQuantile;
  from: CallCounts;
  to: CallCounts;
};

/** Counts per route since the last time they were taken. */
export class EvidenceCollector {
  readonly #routes = new Map<string, RouteTally>();

  /**
   * States that a call ended. `slowness` is the measured time to first token
   * over the expected one; absent for a call that failed before it.
   */
  recordCall(
    call: {
      route: string;
      side: VersionSide;
      failed: boolean;
      slowness?: number | undefined;
    },
  ): void {
    const tally = this.#tallyOf(call.route);
    const counts = tally[call.side];
    counts.ended++;
    if (call.failed) counts.failed++;
    if (call.slowness === undefined) return;
    if (call.slowness > (tally.threshold.value ?? Infinity)) counts.slow++;
    if (call.side === "from") tally.threshold.add(call.slowness);
  }

  /** Gives what was counted and starts anew; the thresholds stay. */
  flush(): RouteEvidence[] {
    const evidence: RouteEvidence[] = [];
    for (const [route, tally] of this.#routes) {
      const { from, to } = tally;
      if (from.ended + to.ended === 0) continue;
      evidence.push({ route, from, to });
      tally.from = noCalls();
      tally.to = noCalls();
    }
    return evidence;
  }

  #tallyOf(route: string): RouteTally {
    const full = this.#routes.size >= MOST_ROUTES && !this.#routes.has(route);
    const key = full ? OTHER_ROUTES : route;
    let tally = this.#routes.get(key);
    if (tally === undefined) {
      const threshold = new RunningQuantile(SLOW_QUANTILE);
      tally = { threshold, from: noCalls(), to: noCalls() };
      this.#routes.set(key, tally);
    }
    return tally;
  }
}

/** Adds evidence of the same routes together. */
export function mergeEvidence(
  evidence: Iterable<RouteEvidence>,
): RouteEvidence[] {
  const routes = new Map<string, RouteEvidence>();
  for (const { route, from, to } of evidence) {
    const sum = routes.get(route) ?? { route, from: noCalls(), to: noCalls() };
    routes.set(route, sum);
    addCounts(sum.from, from);
    addCounts(sum.to, to);
  }
  return [...routes.values()];
}

/**
 * Counts the ended calls at one process until they are evaluated or sent to the
 * move's driver. A call counts as slow by a threshold that is the same for both
 * versions at any moment, so a cause that slows both down affects the counts of
 * both.
 * @module
 */
import { addCounts, zeroCounts } from "./evidence.ts";
import type { CallCounts, RouteEvidence } from "./evidence.ts";
import { RunningQuantile } from "./running_quantile.ts";

/** The threshold is exceeded by one call in ten of the old version. */
const SLOW_QUANTILE = 0.9;

/**
 * Maximum number of routes counted separately; further ones are counted
 * together.
 */
const MAXIMUM_ROUTES = 64;
const OTHER_ROUTES = "*";

/** The version that served a call: `from` is the old one, `to` the new one. */
export type VersionSide = "from" | "to";

type RouteCounts = {
  threshold: RunningQuantile;
  from: CallCounts;
  to: CallCounts;
};

/** Counts for each route since the last {@link EvidenceCollector.flush}. */
export class EvidenceCollector {
  readonly #routes = new Map<string, RouteCounts>();

  /**
   * Records an ended call. `slowness` is the measured time to first token
   * divided by the expected one; absent for a call that failed before its first
   * token.
   */
  recordCall(
    call: {
      route: string;
      side: VersionSide;
      failed: boolean;
      slowness?: number | undefined;
    },
  ): void {
    const routeCounts = this.#countsOf(call.route);
    const counts = routeCounts[call.side];
    counts.ended++;
    if (call.failed) counts.failed++;
    if (call.slowness === undefined) return;
    if (call.slowness > (routeCounts.threshold.value ?? Infinity)) {
      counts.slow++;
    }
    if (call.side === "from") routeCounts.threshold.add(call.slowness);
  }

  /** Returns the counts and resets them; the thresholds are kept. */
  flush(): RouteEvidence[] {
    const evidence: RouteEvidence[] = [];
    for (const [route, routeCounts] of this.#routes) {
      const { from, to } = routeCounts;
      if (from.ended + to.ended === 0) continue;
      evidence.push({ route, from, to });
      routeCounts.from = zeroCounts();
      routeCounts.to = zeroCounts();
    }
    return evidence;
  }

  #countsOf(route: string): RouteCounts {
    const full = this.#routes.size >= MAXIMUM_ROUTES &&
      !this.#routes.has(route);
    const key = full ? OTHER_ROUTES : route;
    let routeCounts = this.#routes.get(key);
    if (routeCounts === undefined) {
      const threshold = new RunningQuantile(SLOW_QUANTILE);
      routeCounts = { threshold, from: zeroCounts(), to: zeroCounts() };
      this.#routes.set(key, routeCounts);
    }
    return routeCounts;
  }
}

/** Sums the evidence of each route. */
export function mergeEvidence(
  evidence: Iterable<RouteEvidence>,
): RouteEvidence[] {
  const routes = new Map<string, RouteEvidence>();
  for (const { route, from, to } of evidence) {
    const sum = routes.get(route) ??
      { route, from: zeroCounts(), to: zeroCounts() };
    routes.set(route, sum);
    addCounts(sum.from, from);
    addCounts(sum.to, to);
  }
  return [...routes.values()];
}

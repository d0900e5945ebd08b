/**
 * Counts the ended calls at one process until they are evaluated or sent to the
 * move's driver. A call counts as slow by a threshold that is the same for both
 * versions at any moment, so a cause that slows both down affects the counts of
 * both.
 * @module
 */
import { addCounts, zeroCounts } from "./evidence.ts";
import type { CallCounts, RouteEvidence } from "./evidence.ts";
import type { SlowThresholds } from "./move_judge_state.ts";
import { RecentQuartile } from "./recent_quartile.ts";
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

/**
 * One or several measures of a call, each divided by the expected one and
 * always in the same order; `undefined` where the call has none.
 */
export type Slowness = number | readonly (number | undefined)[];

/** Parameters of a collector. */
export type EvidenceCollectorOptions = {
  /** Factor of a threshold above which a call counts as slow; 1 by default. */
  slowFactor?: number;
  /**
   * Highest further factor in a stratum of which no call of the old version is
   * known, and which may be slower or further away whatever the version; 1 by
   * default.
   */
  unknownStratumFactor?: number;
};

type RouteCounts = {
  /** One for each measure of slowness. */
  thresholds: RunningQuantile[];
  strata: Map<string | undefined, Record<VersionSide, CallCounts>>;
  /** Strata that the thresholds cover. */
  known: Set<string | undefined>;
};

/** Counts for each route since the last {@link EvidenceCollector.flush}. */
export class EvidenceCollector {
  readonly #routes = new Map<string, RouteCounts>();
  readonly #slowFactor: number;
  readonly #unknownStratumFactor: number;
  /** Measures of the old version's calls, each divided by its threshold. */
  readonly #usual: RecentQuartile[] = [];
  /** The same of the new version, by stratum of which no old call is known. */
  readonly #unknown = new Map<string | undefined, RecentQuartile[]>();

  constructor(options: EvidenceCollectorOptions = {}) {
    this.#slowFactor = options.slowFactor ?? 1;
    this.#unknownStratumFactor = options.unknownStratumFactor ?? 1;
  }

  /**
   * Records an ended call. `slowness` is for example the measured time to first
   * token divided by the expected one; absent for a call that failed before its
   * first token. A call is slow if any of its measures is.
   */
  recordCall(
    call: {
      route: string;
      /** See {@link RouteEvidence}. */
      stratum?: string | undefined;
      side: VersionSide;
      failed: boolean;
      slowness?: Slowness | undefined;
      /** Its slowness shows nothing of what is usual in the stratum. */
      isCold?: boolean;
    },
  ): void {
    const { stratum, slowness } = call;
    const routeCounts = this.#countsOf(call.route);
    const counts = countsOf(routeCounts, stratum)[call.side];
    counts.ended++;
    if (call.failed) counts.failed++;
    if (slowness === undefined) return;
    if (this.#exceeds(routeCounts, stratum, slowness)) counts.slow++;
    if (!call.isCold) this.#learnPace(routeCounts, { ...call, slowness });
    if (call.side !== "from") return;
    routeCounts.known.add(stratum);
    for (const [index, value] of measuresOf(slowness).entries()) {
      if (value === undefined) continue;
      routeCounts.thresholds[index] ??= new RunningQuantile(SLOW_QUANTILE);
      routeCounts.thresholds[index].add(value);
    }
  }

  /** Whether a call with these measures counts as slow. */
  isSlow(
    { route, stratum }: { route: string; stratum?: string | undefined },
    slowness: Slowness,
  ): boolean {
    return this.#exceeds(this.#countsOf(route), stratum, slowness);
  }

  #exceeds(
    { thresholds, known }: RouteCounts,
    stratum: string | undefined,
    slowness: Slowness,
  ): boolean {
    return measuresOf(slowness).some((value, index) => {
      const threshold = thresholds[index]?.value;
      if (value === undefined || threshold === undefined) return false;
      const factor = known.has(stratum) ? 1 : this.#paceOf(stratum, index);
      return value > factor * this.#slowFactor * threshold;
    });
  }

  #learnPace(
    { thresholds, known }: RouteCounts,
    call: {
      stratum?: string | undefined;
      side: VersionSide;
      slowness: Slowness;
    },
  ): void {
    const { stratum, side, slowness } = call;
    if (this.#unknownStratumFactor === 1) return;
    if (side === "to" && known.has(stratum)) return;
    const paces = side === "from"
      ? this.#usual
      : this.#unknown.get(stratum) ?? [];
    if (side === "to") this.#unknown.set(stratum, paces);
    for (const [index, value] of measuresOf(slowness).entries()) {
      const threshold = thresholds[index]?.value;
      if (value === undefined || threshold === undefined) continue;
      paces[index] ??= new RecentQuartile();
      paces[index].add(value / threshold);
    }
  }

  /**
   * Factor by which most calls in a stratum take longer than usual. A fault of
   * the new version that slows down only some of its calls has no part in it.
   */
  #paceOf(stratum: string | undefined, index: number): number {
    const usual = this.#usual[index]?.value;
    const pace = this.#unknown.get(stratum)?.[index]?.value;
    const maximum = this.#unknownStratumFactor;
    if (usual === undefined || pace === undefined) return maximum;
    return Math.min(maximum, Math.max(1, pace / usual));
  }

  /** Discards the counts, and which strata are known. */
  restart(): void {
    this.#unknown.clear();
    for (const { strata, known } of this.#routes.values()) {
      strata.clear();
      known.clear();
    }
  }

  /** The thresholds of each route, for another process that continues. */
  thresholds(): SlowThresholds {
    return [...this.#routes].map(([route, { thresholds }]) => ({
      route,
      values: Array.from(thresholds, (threshold) => {
        const value = threshold?.value ?? 0;
        return Number.isFinite(value) ? value : 0;
      }),
    }));
  }

  /** Continues from the thresholds of another process. */
  restoreThresholds(thresholds: SlowThresholds): void {
    for (const { route, values } of thresholds) {
      const routeCounts = this.#countsOf(route);
      for (const [index, value] of values.entries()) {
        if (value <= 0) continue;
        routeCounts.thresholds[index] = new RunningQuantile(
          SLOW_QUANTILE,
          value,
        );
      }
    }
  }

  /** Returns the counts and resets them; the thresholds are kept. */
  flush(): RouteEvidence[] {
    const evidence: RouteEvidence[] = [];
    for (const [route, { strata }] of this.#routes) {
      for (const [stratum, { from, to }] of strata) {
        evidence.push({
          route,
          ...(stratum !== undefined && { stratum }),
          from,
          to,
        });
      }
      strata.clear();
    }
    return evidence;
  }

  #countsOf(route: string): RouteCounts {
    const full = this.#routes.size >= MAXIMUM_ROUTES &&
      !this.#routes.has(route);
    const key = full ? OTHER_ROUTES : route;
    let routeCounts = this.#routes.get(key);
    if (routeCounts === undefined) {
      routeCounts = { thresholds: [], strata: new Map(), known: new Set() };
      this.#routes.set(key, routeCounts);
    }
    return routeCounts;
  }
}

function countsOf(
  { strata }: RouteCounts,
  stratum: string | undefined,
): Record<VersionSide, CallCounts> {
  const counts = strata.get(stratum) ??
    { from: zeroCounts(), to: zeroCounts() };
  strata.set(stratum, counts);
  return counts;
}

function measuresOf(slowness: Slowness): readonly (number | undefined)[] {
  return typeof slowness === "number" ? [slowness] : slowness;
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

/**
 * Compares a new version with the old one, separately for each route, by calls
 * of the same interval.
 *
 * Detects versions that fail or slow down at once, later, under load or on one
 * route only. A fixed threshold on the error rate needs many calls to detect
 * one bad route among good ones, and blames the new version for a fault that
 * affects both. The same judge runs at each entry on the entry's own calls,
 * which stops the new version there before any record is written, and at the
 * move's driver on the calls of all entries.
 *
 * The alarm threshold is an evidence of 1000, so that fewer than one in a
 * hundred good versions is taken back when six combinations of route and kind
 * of event are watched. At a share of 2 %, three failures without one of the
 * old version reach it. The caches of a new version are cold, so up to twice as
 * many slow calls are tolerated and the first 20 calls of a route are not
 * evaluated for slowness. A fifth more failures than on the old version are
 * tolerated: one failure on each version in a thousand calls is no evidence.
 * @module
 */
import { addCounts, zeroCounts } from "./evidence.ts";
import type { CallCounts, RouteEvidence } from "./evidence.ts";
import type { MoveJudgeState } from "./move_judge_state.ts";
import { RatioEvidence } from "./ratio_evidence.ts";
import type { RatioEvidenceOptions } from "./ratio_evidence.ts";

/** Result of the comparison so far. */
export type MoveVerdict =
  | { kind: "undecided" }
  | {
    kind: "bad";
    route: string;
    reason: "failures" | "slowness";
    from: CallCounts;
    to: CallCounts;
  };

const ALARM_THRESHOLD = 1000;
const FAILURE_TEST = {
  toleratedRatio: 1.2,
  alternativeRatios: [2, 5, 20, 100],
};
const SLOWNESS_TEST = { toleratedRatio: 2, alternativeRatios: [3, 5, 9] };
const WARM_UP_CALLS = 20;

/**
 * Calls are compared with calls of the same interval, which ends once both
 * versions have calls in it. With little traffic, calls of the old version are
 * kept for up to 60 s until one of the new version can be compared with all of
 * them. Calls of the new version are kept for 10 s; if the old version still
 * has none, its calls of the last minute are used instead.
 */
const MAXIMUM_INTERVAL: MaximumInterval = {
  withoutNew: 60_000,
  withoutOld: 10_000,
};
/** Milliseconds in which the old version's earlier counts decay to 1/e. */
const BASELINE_TIME_CONSTANT = 60_000;

/** Maximum milliseconds of an interval without calls of one version. */
export type MaximumInterval = { withoutNew: number; withoutOld: number };

/** Parameters of a judge; the defaults are for moves that take minutes. */
export type MoveJudgeOptions = {
  failureTest?: RatioEvidenceOptions;
  slownessTest?: RatioEvidenceOptions;
  /** First calls of a route that are not evaluated for slowness. */
  warmUpCalls?: number;
  maximumInterval?: MaximumInterval;
  /**
   * Earlier calls of the old version that are enough for a comparison if it has
   * none in an interval.
   */
  minimumBaseline?: number;
  /**
   * Also sums the evidence of all routes, which shows a fault of all routes
   * sooner if there are many.
   */
  sumsRoutes?: boolean;
};

/** Stands for all routes in a verdict. */
const ALL_ROUTES = "*";

type RouteTests = { failures: RatioEvidence; slowness: RatioEvidence };

type RouteTestsState = MoveJudgeState["allRoutes"];

type RouteState = RouteTests & {
  total: RouteEvidence;
  /** By their names; see {@link RouteEvidence}. */
  strata: Map<string | undefined, Stratum>;
};

type Stratum = {
  /** Counts that were not compared yet. */
  pending: Record<"from" | "to", CallCounts>;
  pendingSince: number;
  baseline: CallCounts;
  baselineAt: number;
};

/** Evaluates the evidence of one move at one process. */
export class MoveJudge {
  readonly #routes = new Map<string, RouteState>();
  readonly #options: Required<MoveJudgeOptions>;
  readonly #allRoutes: RouteTests;
  #verdict: MoveVerdict = { kind: "undecided" };

  constructor(options: MoveJudgeOptions = {}) {
    this.#options = {
      failureTest: FAILURE_TEST,
      slownessTest: SLOWNESS_TEST,
      warmUpCalls: WARM_UP_CALLS,
      maximumInterval: MAXIMUM_INTERVAL,
      minimumBaseline: 0,
      sumsRoutes: false,
      ...options,
    };
    this.#allRoutes = this.#createTests();
  }

  /** The verdict `bad` is final for this move. */
  get verdict(): MoveVerdict {
    return this.#verdict;
  }

  /** Counts of each route since the move began. */
  get totals(): RouteEvidence[] {
    return [...this.#routes.values()].map((state) => state.total);
  }

  /** Number of ended calls of the new version. */
  get newVersionCalls(): number {
    return this.totals.reduce((sum, total) => sum + total.to.ended, 0);
  }

  /** Strongest evidence against the new version; see {@link RatioEvidence}. */
  get evidence(): number {
    const tests = [this.#allRoutes, ...this.#routes.values()];
    return Math.max(
      ...tests.map(({ failures, slowness }) =>
        Math.max(failures.evidence, slowness.evidence)
      ),
    );
  }

  /** What was found so far, for another process that continues. */
  state(): MoveJudgeState {
    const routes = [...this.#routes.values()].map((state) => ({
      ...state.total,
      ...testsState(state),
    }));
    return { allRoutes: testsState(this.#allRoutes), routes };
  }

  /** Continues from what another process has found. */
  restore({ allRoutes, routes }: MoveJudgeState): void {
    restoreTests(this.#allRoutes, allRoutes);
    for (const { route, from, to, ...tests } of routes) {
      const state = this.#stateOf(route);
      state.total = { route, from: { ...from }, to: { ...to } };
      restoreTests(state, tests);
    }
  }

  /** Adds the evidence of one interval of up to a few seconds. */
  observe(evidence: readonly RouteEvidence[], now: number): MoveVerdict {
    for (const { route, stratum: name, from, to } of evidence) {
      const state = this.#stateOf(route);
      const { pending } = stratumOf(state, name, now);
      addCounts(pending.from, from);
      addCounts(pending.to, to);
      addCounts(state.total.from, from);
      addCounts(state.total.to, to);
    }
    for (const state of this.#routes.values()) {
      for (const stratum of state.strata.values()) {
        this.#compare(state, stratum, now);
      }
    }
    return this.#verdict;
  }

  #compare(state: RouteState, stratum: Stratum, now: number): void {
    const { from, to } = stratum.pending;
    if (from.ended + to.ended === 0) {
      stratum.pendingSince = now;
      return;
    }
    const age = now - stratum.pendingSince;
    const { withoutNew, withoutOld } = this.#options.maximumInterval;
    if (to.ended === 0 && age < withoutNew) return;
    if (from.ended === 0 && age < withoutOld) return;
    decayBaseline(stratum, now);
    const { baseline } = stratum;
    const hasReference = from.ended > 0 ||
      baseline.ended >= this.#options.minimumBaseline;
    if (!hasReference) return;
    this.#test(state, from.ended > 0 ? from : baseline, to);
    addCounts(stratum.baseline, from);
    stratum.pending = { from: zeroCounts(), to: zeroCounts() };
    stratum.pendingSince = now;
  }

  #test(state: RouteState, from: CallCounts, to: CallCounts): void {
    const isWarm = state.total.to.ended >= this.#options.warmUpCalls;
    this.#observe(state, from, to, isWarm);
    this.#rejectOnAlarm(state, () => state.total);
    if (!this.#options.sumsRoutes) return;
    this.#observe(this.#allRoutes, from, to, isWarm);
    this.#rejectOnAlarm(this.#allRoutes, () => this.#totalOfAllRoutes());
  }

  #totalOfAllRoutes(): RouteEvidence {
    const total = emptyEvidence(ALL_ROUTES);
    for (const { from, to } of this.totals) {
      addCounts(total.from, from);
      addCounts(total.to, to);
    }
    return total;
  }

  #observe(
    { failures, slowness }: RouteTests,
    from: CallCounts,
    to: CallCounts,
    isWarm: boolean,
  ): void {
    failures.observe(from, to, { from: from.failed, to: to.failed });
    if (isWarm) slowness.observe(from, to, { from: from.slow, to: to.slow });
  }

  #rejectOnAlarm(
    { failures, slowness }: RouteTests,
    total: () => RouteEvidence,
  ): void {
    if (this.#verdict.kind === "bad") return;
    if (failures.evidence >= ALARM_THRESHOLD) {
      this.#reject(total(), "failures");
    } else if (slowness.evidence >= ALARM_THRESHOLD) {
      this.#reject(total(), "slowness");
    }
  }

  #reject(
    { route, from, to }: RouteEvidence,
    reason: "failures" | "slowness",
  ): void {
    this.#verdict = {
      kind: "bad",
      route,
      reason,
      from: { ...from },
      to: { ...to },
    };
  }

  #createTests(): RouteTests {
    return {
      failures: new RatioEvidence(this.#options.failureTest),
      slowness: new RatioEvidence(this.#options.slownessTest),
    };
  }

  #stateOf(route: string): RouteState {
    let state = this.#routes.get(route);
    if (state === undefined) {
      state = {
        ...this.#createTests(),
        total: emptyEvidence(route),
        strata: new Map(),
      };
      this.#routes.set(route, state);
    }
    return state;
  }
}

function testsState({ failures, slowness }: RouteTests): RouteTestsState {
  return {
    failures: failures.logEvidence,
    slowness: slowness.logEvidence,
  };
}

function restoreTests(
  { failures, slowness }: RouteTests,
  state: RouteTestsState,
): void {
  failures.restore(state.failures);
  slowness.restore(state.slowness);
}

function emptyEvidence(route: string): RouteEvidence {
  return { route, from: zeroCounts(), to: zeroCounts() };
}

function stratumOf(
  { strata }: RouteState,
  name: string | undefined,
  now: number,
): Stratum {
  const stratum = strata.get(name) ?? {
    pending: { from: zeroCounts(), to: zeroCounts() },
    pendingSince: now,
    baseline: zeroCounts(),
    baselineAt: now,
  };
  strata.set(name, stratum);
  return stratum;
}

function decayBaseline(state: Stratum, now: number): void {
  const factor = Math.exp(-(now - state.baselineAt) / BASELINE_TIME_CONSTANT);
  state.baselineAt = now;
  state.baseline.ended *= factor;
  state.baseline.failed *= factor;
  state.baseline.slow *= factor;
}

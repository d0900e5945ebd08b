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
import { Stratum } from "./stratum.ts";
import type { OldCalls } from "./stratum.ts";

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
/** A stratum or route of the old version alone is never compared. */
const OWN_REFERENCE = { strata: Infinity, routes: Infinity };

/** Maximum milliseconds of an interval without calls of one version. */
export type MaximumInterval = { withoutNew: number; withoutOld: number };

/**
 * Milliseconds of an interval after which calls of the new version for which
 * the old one has none to compare with are compared with its calls in the other
 * strata of the route, and then with those of the other routes.
 */
export type WiderReference = { strata: number; routes: number };

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
   * By default, calls are compared within their route and stratum only. Those
   * of other routes show nothing of slowness.
   */
  widerReference?: WiderReference;
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

/** Calls of the old version that those of the new one are compared with. */
type Reference = { from: CallCounts; isOfRoute: boolean };

/** Evaluates the evidence of one move at one process. */
export class MoveJudge {
  readonly #routes = new Map<string, RouteState>();
  readonly #options: Required<MoveJudgeOptions>;
  readonly #allRoutes: RouteTests;
  /** Of all routes, since the move began. */
  readonly #oldCalls = zeroCounts();
  #verdict: MoveVerdict = { kind: "undecided" };
  #uncomparedCalls = zeroCounts();

  constructor(options: MoveJudgeOptions = {}) {
    this.#options = {
      failureTest: FAILURE_TEST,
      slownessTest: SLOWNESS_TEST,
      warmUpCalls: WARM_UP_CALLS,
      maximumInterval: MAXIMUM_INTERVAL,
      minimumBaseline: 0,
      widerReference: OWN_REFERENCE,
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

  /**
   * Calls of the new version that have waited in vain for any of the old one to
   * be compared with.
   */
  get uncomparedCalls(): CallCounts {
    return this.#uncomparedCalls;
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
      const { pending } = this.#stratumOf(state, name, now);
      addCounts(pending.from, from);
      addCounts(pending.to, to);
      addCounts(state.total.from, from);
      addCounts(state.total.to, to);
      addCounts(this.#oldCalls, from);
    }
    this.#uncomparedCalls = zeroCounts();
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
      stratum.beginInterval(this.#oldCallsOf(state), now);
      return;
    }
    const age = now - stratum.since;
    const { withoutNew, withoutOld } = this.#options.maximumInterval;
    if (to.ended === 0 && age < withoutNew) return;
    if (from.ended === 0 && age < withoutOld) return;
    const reference = this.#referenceOf(state, stratum, now);
    if (reference !== undefined) {
      this.#test(state, reference, to);
      stratum.beginInterval(this.#oldCallsOf(state), now);
    } else if (age >= this.#options.widerReference.routes) {
      addCounts(this.#uncomparedCalls, to);
    }
  }

  /**
   * The nearest calls of the old version: of the same stratum, of the others,
   * or of other routes; of the same interval, or else earlier ones.
   */
  #referenceOf(
    state: RouteState,
    stratum: Stratum,
    now: number,
  ): Reference | undefined {
    const { widerReference, minimumBaseline } = this.#options;
    const { pending: { from } } = stratum;
    const age = now - stratum.since;
    if (from.ended > 0) return { from, isOfRoute: true };
    const own = stratum.baseline(now);
    if (own.ended >= minimumBaseline) return { from: own, isOfRoute: true };
    const isKnown = own.ended > 0;
    if (isKnown && age < widerReference.strata) return undefined;
    const meanwhile = stratum.oldCallsMeanwhile(this.#oldCallsOf(state));
    const ofRoute = this.#enoughOf(meanwhile.route, [state], now);
    if (ofRoute !== undefined) return { from: ofRoute, isOfRoute: true };
    if (age < widerReference.routes) return undefined;
    const ofAll = this.#enoughOf(meanwhile.all, this.#routes.values(), now);
    return ofAll && { from: ofAll, isOfRoute: false };
  }

  /** Calls of the interval, or else the last ones if they are enough. */
  #enoughOf(
    meanwhile: CallCounts,
    states: Iterable<RouteState>,
    now: number,
  ): CallCounts | undefined {
    if (meanwhile.ended > 0) return meanwhile;
    const last = lastCallsOf(states, now);
    return last.ended >= this.#options.minimumBaseline ? last : undefined;
  }

  #oldCallsOf({ total }: RouteState): OldCalls {
    return { route: total.from, all: this.#oldCalls };
  }

  #test(
    state: RouteState,
    { from, isOfRoute }: Reference,
    to: CallCounts,
  ): void {
    const comparesSlowness = isOfRoute &&
      state.total.to.ended >= this.#options.warmUpCalls;
    this.#observe(state, from, to, comparesSlowness);
    this.#rejectOnAlarm(state, () => state.total);
    if (!this.#options.sumsRoutes) return;
    this.#observe(this.#allRoutes, from, to, comparesSlowness);
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
    comparesSlowness: boolean,
  ): void {
    failures.observe(from, to, { from: from.failed, to: to.failed });
    if (!comparesSlowness) return;
    slowness.observe(from, to, { from: from.slow, to: to.slow });
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

  #stratumOf(
    state: RouteState,
    name: string | undefined,
    now: number,
  ): Stratum {
    let stratum = state.strata.get(name);
    if (stratum === undefined) {
      stratum = new Stratum(this.#oldCallsOf(state), now);
      state.strata.set(name, stratum);
    }
    return stratum;
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

/** Last calls of the old version in all strata of the routes. */
function lastCallsOf(states: Iterable<RouteState>, now: number): CallCounts {
  const sum = zeroCounts();
  for (const { strata } of states) {
    for (const stratum of strata.values()) {
      addCounts(sum, stratum.baseline(now));
      addCounts(sum, stratum.pending.from);
    }
  }
  return sum;
}

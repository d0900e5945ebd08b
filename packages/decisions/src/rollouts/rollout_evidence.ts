/**
 * Compares the runs of the target of a roll-out with those of the established
 * version, over the same time and by route.
 *
 * What counts is what callers get: failures, and how long the first token, all
 * others and the whole response took. A run in progress counts as slow once it
 * exceeds the threshold, since a version that answers several times slower
 * would otherwise be noticed several times later. Runs that no server began,
 * and those that callers ended sooner, show nothing.
 * @module
 */
import type { RunOutcome } from "../dispatch/grant_request.ts";
import {
  nominalDecodeTime,
  nominalFirstTokenTime,
  nominalRunTime,
} from "../dispatch/latency_ratio.ts";
import type { StreamTiming } from "../dispatch/pooled_server.ts";
import { EvidenceCollector, MoveJudge } from "../moves/mod.ts";
import type {
  CallCounts,
  MoveJudgeOptions,
  MoveVerdict,
  RouteEvidence,
  VersionSide,
} from "../moves/mod.ts";
import type { Cost } from "../queueing/mod.ts";
import type { RolloutHandover } from "./rollout_handover.ts";

/**
 * A call is slow if it takes this many times what nine in ten of the
 * established version's take.
 */
const SLOW_FACTOR = 1.5;

/**
 * Highest factor of that in data centres in which the established version has
 * no servers: they may be slower or further away.
 */
const OTHER_DATA_CENTRE_FACTOR = 2;

/** Factor by which a server that is cold may be slower. */
const COLD_FACTOR = 3;

/**
 * Milliseconds in which several failures or slow runs of one server of the
 * target count once: a crash or a stall of a server has one cause.
 */
const SERVER_INTERVAL = 300;

/**
 * A roll-out may take seconds, so the first calls count. One failure in a
 * hundred calls, and two slow ones, are tolerated whatever the other version
 * shows.
 */
const JUDGE_OPTIONS: MoveJudgeOptions = {
  failureTest: {
    toleratedRatio: 1.2,
    alternativeRatios: [2, 5, 20, 100],
    backgroundRate: 0.01,
  },
  slownessTest: {
    toleratedRatio: 1.5,
    alternativeRatios: [3, 6, 12],
    backgroundRate: 0.02,
  },
  warmUpCalls: 0,
  maximumInterval: { withoutNew: 5000, withoutOld: 300 },
  minimumBaseline: 10,
  widerReference: { strata: 1000, routes: 5000 },
  sumsRoutes: true,
};

const FAILED_OUTCOMES: ReadonlySet<RunOutcome> = new Set<RunOutcome>([
  "failed",
  "broken",
  "crashed",
]);

/** A granted run, as far as it is compared. */
export type ComparedRun = {
  /** Entry that sends the request. */
  entry: string;
  version: string;
  server: string;
  /** Of the server. */
  dataCentre: string;
  route: string;
  cost: Cost;
  grantedAt: number;
  isCold: boolean;
};

/** Part of a {@link RolloutHandover}. */
type EvidenceState = Pick<RolloutHandover, "judge" | "thresholds">;

type RunInProgress = ComparedRun & {
  firstToken?: number;
  timing?: StreamTiming;
  isCounted: boolean;
};

/** Runs of one service, and the comparison of two versions. */
export class RolloutEvidence {
  readonly #runs = new Map<string, RunInProgress>();
  readonly #collector = new EvidenceCollector({
    slowFactor: SLOW_FACTOR,
    unknownStratumFactor: OTHER_DATA_CENTRE_FACTOR,
  });
  /** When a bad run of a server counted last. */
  readonly #countedAt = new Map<string, number>();
  #judge = new MoveJudge(JUDGE_OPTIONS);
  #established: string | undefined;
  /** Absent while no two versions are compared. */
  #target: string | undefined;

  get verdict(): MoveVerdict {
    return this.#judge.verdict;
  }

  /** Strongest evidence against the target; 1 is neutral. */
  get strength(): number {
    return this.#judge.evidence;
  }

  /** Counts of each route since the comparison began. */
  get totals(): RouteEvidence[] {
    return this.#judge.totals;
  }

  /** Number of ended runs of the target. */
  get targetRuns(): number {
    return this.#judge.newVersionCalls;
  }

  /** Ended runs of the target that there is nothing to compare with. */
  get uncomparedRuns(): CallCounts {
    return this.#judge.uncomparedCalls;
  }

  /** Number of runs in progress. */
  get size(): number {
    return this.#runs.size;
  }

  /** Runs in progress of a version. */
  running(version: string): number {
    let count = 0;
    for (const run of this.#runs.values()) if (run.version === version) count++;
    return count;
  }

  /** Starts a new comparison. */
  compare(established: string | undefined, target: string): void {
    this.setEstablished(established);
    if (established !== target) this.#target = target;
    this.#collector.restart();
    this.#countedAt.clear();
    this.#judge = new MoveJudge(JUDGE_OPTIONS);
  }

  /**
   * Sets the established version during a comparison. False if it has to start
   * anew, as the target is established, or no longer.
   */
  updateEstablished(established: string | undefined, target: string): boolean {
    if (established === this.#established) return true;
    if (this.#target !== target || established === target) return false;
    this.#established = established;
    return true;
  }

  /** What was found so far, for another entry that continues. */
  state(): EvidenceState {
    return {
      judge: this.#judge.state(),
      thresholds: this.#collector.thresholds(),
    };
  }

  /** Continues a comparison from what another entry has found. */
  restore({ judge, thresholds }: EvidenceState): void {
    this.#judge = new MoveJudge(JUDGE_OPTIONS);
    this.#judge.restore(judge);
    this.#collector.restoreThresholds(thresholds);
  }

  /** Sets the version whose runs show what is usual, and ends a comparison. */
  setEstablished(version: string | undefined): void {
    this.#established = version;
    this.#target = undefined;
  }

  /**
   * The target is compared with all other versions: the one that is assumed to
   * be established may be another than the one that serves.
   */
  #sideOf(version: string): VersionSide | undefined {
    if (version === this.#target) return "to";
    const isReference = this.#target !== undefined ||
      version === this.#established;
    return isReference ? "from" : undefined;
  }

  recordStart(id: string, run: ComparedRun): void {
    this.#runs.set(id, { ...run, isCounted: false });
  }

  /** Records a run that another entry granted; it shows nothing. */
  recordAdopted(id: string, run: ComparedRun): void {
    this.#runs.set(id, { ...run, isCounted: true });
  }

  recordResponseStart(id: string, latency: number): void {
    const run = this.#runs.get(id);
    if (run !== undefined) run.firstToken ??= latency;
  }

  recordStreamTiming(id: string, timing: StreamTiming): void {
    const run = this.#runs.get(id);
    if (run !== undefined) run.timing = timing;
  }

  /** Removes a run that shows nothing. */
  remove(id: string): void {
    this.#runs.delete(id);
  }

  /** Removes the runs of an entry, which has disconnected. */
  removeEntry(entry: string): void {
    for (const [id, run] of this.#runs) {
      if (run.entry === entry) this.#runs.delete(id);
    }
  }

  recordEnd(id: string, outcome: RunOutcome, now: number): void {
    const run = this.#runs.get(id);
    if (run === undefined) return;
    this.#runs.delete(id);
    if (run.isCounted) return;
    if (FAILED_OUTCOMES.has(outcome)) this.#count(run, true, now);
    else if (outcome === "answered") this.#count(run, false, now);
    else if (outcome === "abandoned" && this.#isSlow(run, now)) {
      this.#count(run, false, now);
    }
  }

  /** Counts the runs in progress that are slow already, and compares. */
  observe(now: number): MoveVerdict {
    for (const run of this.#runs.values()) {
      if (run.isCounted || this.#sideOf(run.version) === undefined) continue;
      if (!this.#isSlow(run, now)) continue;
      run.isCounted = true;
      this.#count(run, false, now);
    }
    return this.#judge.observe(this.#collector.flush(), now);
  }

  #count(run: RunInProgress, failed: boolean, now: number): void {
    const side = this.#sideOf(run.version);
    if (side === undefined) return;
    const isBad = failed || this.#isSlow(run, now);
    if (isBad && side === "to" && this.#hasCountedLately(run.server, now)) {
      return;
    }
    const slowness = failed ? undefined : slownessOf(run, now);
    const { route, dataCentre: stratum, isCold } = run;
    this.#collector.recordCall({
      route,
      stratum,
      side,
      failed,
      slowness,
      isCold,
    });
  }

  #hasCountedLately(server: string, now: number): boolean {
    const countedAt = this.#countedAt.get(server) ?? -Infinity;
    if (now - countedAt < SERVER_INTERVAL) return true;
    this.#countedAt.set(server, now);
    return false;
  }

  #isSlow(run: RunInProgress, now: number): boolean {
    const { route, dataCentre: stratum } = run;
    return this.#collector.isSlow({ route, stratum }, slownessOf(run, now));
  }
}

/** Measured times, each divided by the nominal one. */
function slownessOf(
  { cost, grantedAt, isCold, firstToken, timing }: RunInProgress,
  now: number,
): (number | undefined)[] {
  const factor = isCold ? COLD_FACTOR : 1;
  const elapsed = now - grantedAt;
  const { tokens = 0, measured = 0 } = timing ?? {};
  const decode = tokens === 0 ? undefined : measured /
    nominalDecodeTime({ promptTokens: 1, outputTokens: tokens });
  return [
    (firstToken ?? elapsed) / nominalFirstTokenTime(cost) / factor,
    decode === undefined ? undefined : decode / factor,
    elapsed / nominalRunTime(cost) / factor,
  ];
}

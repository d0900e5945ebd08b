/**
 * The limit of a plain service's backend server, found from latency.
 *
 * Load pattern: calls of a few milliseconds to a server with a fixed number of
 * workers behind it. Above that number calls only wait inside the server, where
 * no tier is known; without a limit the urgent booking stands there behind the
 * burst of status look-ups.
 *
 * The median of a window is held within twice the recent unloaded latency: at
 * that point as much time is spent waiting inside the server as being served,
 * and more concurrency adds no throughput. Twice, and the median, because routes
 * differ and single slow calls are common.
 * @module
 */
import type {
  Cost,
  WaitingReservation,
} from "../queueing/waiting_reservation.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { LoneRun } from "./lone_run.ts";
import { PassedOver } from "./passed_over.ts";
import { RecentMinimum } from "./recent_minimum.ts";
import { TimesWindow } from "./times_window.ts";
import { WindowJudge } from "./window_judge.ts";

const WINDOW = 250;
const LEAST_WINDOW_CALLS = 8;
const TOLERANCE = 2;
const UNLOADED_CALLS = 2;
const UNLOADED_SHARE = 0.5;
const FAILED_SHARE = 0.5;
/** Failures may come from load: each bad window halves, never to none. */
const FAILURE_EXCESS = 2;
/** Silence of the oldest call, in tolerated latencies, that counts as slow. */
const SILENT_LATENCIES = 5;
/** Differences below this are the network's and the event loop's. */
const SHORTEST_LATENCY = 2;
const MOST_CALLS = 4096;
const INITIAL_CALLS = 4;

/** See the module. */
export class CallLimit extends ConcurrencyLimit {
  readonly #bound: AdaptiveBound;
  readonly #judge = new WindowJudge();
  /** Oldest first. */
  readonly #started = new Map<string, number>();
  readonly #latencies = new TimesWindow();
  readonly #unloaded = new RecentMinimum();
  readonly #loneRun = new LoneRun();
  readonly #passedOver = new PassedOver();
  #now = 0;
  #failed = 0;
  #windowStarted: number | undefined;

  constructor(options: { initial?: number } = {}) {
    super();
    this.#bound = new AdaptiveBound({
      initial: Math.max(1, options.initial ?? INITIAL_CALLS),
      least: 1,
      most: MOST_CALLS,
    });
  }

  override get running(): number {
    return this.#started.size;
  }

  override get limit(): number {
    return Math.max(1, Math.floor(this.#bound.value));
  }

  override admits(waiting: WaitingReservation): boolean {
    if (this.isIdle) {
      this.#loneRun.admitted(waiting);
      return true;
    }
    if (this.#loneRun.active) {
      return false;
    }
    if (waiting.suspect) {
      const now = this.#now;
      this.#passedOver.refused({ waiting, long: false, room: "alone", now });
      return false;
    }
    if (this.#passedOver.bars(waiting, false, this.#now)) {
      return false;
    }
    if (this.running >= this.limit) {
      this.#bound.refused();
      return false;
    }
    return true;
  }

  override started(id: string, _cost: Cost, now: number): void {
    this.#passedOver.started(id);
    this.#loneRun.started(id);
    this.#started.set(id, now);
    this.#bound.used(this.running);
    this.#advance(now);
  }

  override firstToken(_id: string, _now: number): void {}

  override progressed(_id: string, _outputTokens: number, _now: number): void {}

  override finished(id: string, outcome: Outcome, now: number): void {
    const started = this.#started.get(id);
    if (started === undefined) {
      return;
    }
    this.#started.delete(id);
    this.#loneRun.finished(id);
    if (outcome === "failed") {
      this.#failed += 1;
    }
    if (outcome === "ok") {
      this.#latencies.add(now - started);
    }
    this.#advance(now);
  }

  #advance(now: number): void {
    this.#now = now;
    this.#windowStarted ??= now;
    if (now - this.#windowStarted < WINDOW) {
      return;
    }
    this.#countSilence(now);
    if (this.#latencies.weight + this.#failed < LEAST_WINDOW_CALLS) {
      return;
    }
    this.#windowStarted = now;
    this.#judgeWindow(now);
    this.#latencies.reset();
    this.#failed = 0;
  }

  /** A stalled server ends no call to measure: its oldest call is the measure. */
  #countSilence(now: number): void {
    const [oldest] = this.#started.values();
    if (oldest === undefined || this.#latencies.weight > 0) {
      return;
    }
    const age = now - oldest;
    if (age > this.#goal() * SILENT_LATENCIES) {
      this.#latencies.add(age, LEAST_WINDOW_CALLS);
    }
  }

  #judgeWindow(now: number): void {
    const inUse = this.running;
    if (this.#failed > FAILED_SHARE * (this.#failed + this.#latencies.weight)) {
      this.#bound.cut(FAILURE_EXCESS, inUse);
      return;
    }
    const median = this.#latencies.quantile(0.5);
    this.#observeUnloaded(median, now);
    const bound = { bound: this.#bound, step: 1, inUse };
    this.#judge.judge(median, this.#goal(), [bound]);
  }

  /**
   * Under load that lasts, each window's median holds waiting. Taken for the
   * unloaded latency it would let the bound grow again and again.
   */
  #observeUnloaded(median: number, now: number): void {
    const few = Math.max(UNLOADED_CALLS, this.limit * UNLOADED_SHARE);
    if (this.#unloaded.value === undefined || this.running <= few) {
      this.#unloaded.observe(median, now);
    }
  }

  /** Infinite until the first window. */
  #goal(): number {
    const unloaded = this.#unloaded.value ?? Infinity;
    return TOLERANCE * Math.max(SHORTEST_LATENCY, unloaded);
  }
}

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
import type { Cost, Waiting } from "../queueing/waiting.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { RecentMinimum } from "./recent_minimum.ts";
import { TimesWindow } from "./times_window.ts";

const WINDOW = 250;
const LEAST_WINDOW_CALLS = 8;
const TOLERANCE = 2;
const ROOM_TO_GROW = 0.75;
const FAILED_SHARE = 0.5;
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
  readonly #started = new Map<string, number>();
  readonly #latencies = new TimesWindow();
  readonly #unloaded = new RecentMinimum();
  #failed = 0;
  #windowStarted: number | undefined;
  #badWindows = 0;

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

  override admits(waiting: Waiting): boolean {
    if (this.empty) {
      return true;
    }
    return !waiting.suspect && this.running < this.limit;
  }

  override started(id: string, _cost: Cost, now: number): void {
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
    if (outcome === "failed") {
      this.#failed += 1;
    }
    if (outcome === "ok") {
      this.#latencies.add(now - started);
    }
    this.#advance(now);
  }

  #advance(now: number): void {
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
    for (const started of this.#started.values()) {
      const age = now - started;
      if (age > this.#goal() * SILENT_LATENCIES) {
        this.#latencies.add(age, LEAST_WINDOW_CALLS);
      }
      return;
    }
  }

  #judgeWindow(now: number): void {
    const inUse = Math.max(1, this.running);
    if (this.#failed > FAILED_SHARE * (this.#failed + this.#latencies.weight)) {
      this.#bound.cut(FAILURE_EXCESS, inUse);
      return;
    }
    const median = this.#latencies.quantile(0.5);
    this.#unloaded.observe(median, now);
    const goal = this.#goal();
    if (median > goal) {
      this.#judgeBad(median / goal, inUse);
    } else if (median < goal * ROOM_TO_GROW) {
      this.#badWindows = 0;
      this.#bound.raise(1);
    } else {
      this.#badWindows = 0;
      this.#bound.hold();
    }
  }

  #judgeBad(excess: number, inUse: number): void {
    this.#badWindows += 1;
    if (this.#badWindows >= 2) {
      this.#bound.cut(excess, inUse);
    }
  }

  #goal(): number {
    const unloaded = this.#unloaded.value ?? Infinity;
    return TOLERANCE * Math.max(SHORTEST_LATENCY, unloaded);
  }
}

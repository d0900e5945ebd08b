/**
 * Calls of one route that are compared by themselves, such as those of one data
 * centre.
 * @module
 */
import { addCounts, zeroCounts } from "./evidence.ts";
import type { CallCounts } from "./evidence.ts";

/** Milliseconds in which the old version's earlier counts decay to 1/e. */
const BASELINE_TIME_CONSTANT = 60_000;

/** Calls of the old version in all strata, of the route and of all routes. */
export type OldCalls = { route: CallCounts; all: CallCounts };

/** Calls that were not compared yet, and the old version's earlier ones. */
export class Stratum {
  #pending = { from: zeroCounts(), to: zeroCounts() };
  #since: number;
  /** When the interval began. */
  #oldCalls: OldCalls;
  readonly #baseline = zeroCounts();
  #baselineAt: number;

  constructor(oldCalls: OldCalls, now: number) {
    this.#since = now;
    this.#oldCalls = copyOf(oldCalls);
    this.#baselineAt = now;
  }

  /** Calls of the present interval. */
  get pending(): Record<"from" | "to", CallCounts> {
    return this.#pending;
  }

  /** When the interval began. */
  get since(): number {
    return this.#since;
  }

  /** Earlier calls of the old version, the older the less. */
  baseline(now: number): CallCounts {
    const age = now - this.#baselineAt;
    const factor = Math.exp(-age / BASELINE_TIME_CONSTANT);
    this.#baselineAt = now;
    this.#baseline.ended *= factor;
    this.#baseline.failed *= factor;
    this.#baseline.slow *= factor;
    return this.#baseline;
  }

  /** Begins an interval, after the calls of the last one were compared. */
  beginInterval(oldCalls: OldCalls, now: number): void {
    const { from, to } = this.#pending;
    this.#since = now;
    this.#oldCalls = copyOf(oldCalls);
    if (from.ended + to.ended === 0) return;
    addCounts(this.baseline(now), from);
    this.#pending = { from: zeroCounts(), to: zeroCounts() };
  }

  /** What was added to the old version's calls since the interval began. */
  oldCallsMeanwhile({ route, all }: OldCalls): OldCalls {
    return {
      route: difference(route, this.#oldCalls.route),
      all: difference(all, this.#oldCalls.all),
    };
  }
}

function copyOf({ route, all }: OldCalls): OldCalls {
  return { route: { ...route }, all: { ...all } };
}

function difference(more: CallCounts, less: CallCounts): CallCounts {
  return {
    ended: more.ended - less.ended,
    failed: more.failed - less.failed,
    slow: more.slow - less.slow,
  };
}

/**
 * The adaptive concurrency limit of a plain service's backend server, derived
 * from latency.
 *
 * Load pattern: calls of a few milliseconds to a server with a fixed number of
 * workers. Calls beyond that number only wait inside the server, which does not
 * know their tiers. Without a limit, an urgent booking waits there behind a
 * burst of status look-ups.
 *
 * The median latency of a window is held within twice the recent unloaded
 * latency. At that point calls spend as much time waiting inside the server as
 * being served, and more concurrency adds no throughput. The median and the
 * factor of two tolerate routes of different latency and single slow calls,
 * both of which are common.
 * @module
 */
import type {
  Cost,
  WaitingReservation,
} from "../queueing/waiting_reservation.ts";
import { AdaptiveBound } from "./adaptive_bound.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { Outcome } from "./concurrency_limit.ts";
import { ExclusiveRun } from "./exclusive_run.ts";
import { StarvationGuard } from "./starvation_guard.ts";
import { RecentMinimum } from "./recent_minimum.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import { BoundController } from "./bound_controller.ts";

/** Minimum window length in milliseconds. */
const WINDOW_LENGTH = 250;
/** Minimum number of calls that end in a window; it lasts longer with fewer. */
const MIN_WINDOW_CALLS = 8;
/** Factor of the unloaded latency that is tolerated. */
const LATENCY_TOLERANCE = 2;
/** A server that runs no more calls than this counts as unloaded. */
const MAX_UNLOADED_CALLS = 2;
/** The same as a share of the limit; the larger of the two numbers applies. */
const MAX_UNLOADED_SHARE = 0.5;
/** Share of failed calls above which a window counts as overloaded. */
const MAX_FAILED_SHARE = 0.5;
/**
 * Failures may be caused by load: a window of mostly failed calls is treated as
 * if it took this many times the goal. The bound never falls below one call.
 */
const FAILURE_EXCESS = 2;
/**
 * A server is taken to be slow if no call succeeded in a window and the oldest
 * running one is older than this many tolerated latencies.
 */
const STALL_LATENCIES = 5;
/**
 * Latency differences below this many milliseconds come from the network and
 * the event loop.
 */
const MIN_LATENCY = 2;
const MAX_CALLS = 4096;
const INITIAL_CALLS = 4;

export class CallLimit extends ConcurrencyLimit {
  readonly #bound: AdaptiveBound;
  readonly #controller = new BoundController();
  /** Start times by request id, oldest first. */
  readonly #startTimes = new Map<string, number>();
  readonly #latencies = new LatencyHistogram();
  readonly #unloaded = new RecentMinimum();
  readonly #exclusiveRun = new ExclusiveRun();
  readonly #starvationGuard = new StarvationGuard();
  #now = 0;
  #failures = 0;
  #windowStartedAt: number | undefined;

  constructor(options: { initial?: number } = {}) {
    super();
    this.#bound = new AdaptiveBound({
      initial: Math.max(1, options.initial ?? INITIAL_CALLS),
      min: 1,
      max: MAX_CALLS,
    });
  }

  override get running(): number {
    return this.#startTimes.size;
  }

  override get limit(): number {
    return Math.max(1, Math.floor(this.#bound.value));
  }

  override admits(reservation: WaitingReservation): boolean {
    if (this.isIdle) {
      this.#exclusiveRun.recordAdmission(reservation);
      return true;
    }
    if (this.#exclusiveRun.active) {
      return false;
    }
    if (reservation.suspect) {
      const now = this.#now;
      this.#starvationGuard.recordRefusal({
        reservation,
        long: false,
        capacity: "exclusive",
        now,
      });
      return false;
    }
    if (this.#starvationGuard.blocks(reservation, false, this.#now)) {
      return false;
    }
    if (this.running >= this.limit) {
      this.#bound.recordRefusal();
      return false;
    }
    return true;
  }

  override recordStart(id: string, _cost: Cost, now: number): void {
    this.#starvationGuard.recordStart(id);
    this.#exclusiveRun.recordStart(id);
    this.#startTimes.set(id, now);
    this.#bound.recordUse(this.running);
    this.#update(now);
  }

  override recordFirstToken(_id: string, _now: number): void {}

  override recordTokens(
    _id: string,
    _outputTokens: number,
    _now: number,
  ): void {}

  override recordEnd(id: string, outcome: Outcome, now: number): void {
    const startedAt = this.#startTimes.get(id);
    if (startedAt === undefined) {
      return;
    }
    this.#startTimes.delete(id);
    this.#exclusiveRun.recordEnd(id);
    if (outcome === "failed") {
      this.#failures += 1;
    }
    if (outcome === "ok") {
      this.#latencies.record(now - startedAt);
    }
    this.#update(now);
  }

  #update(now: number): void {
    this.#now = now;
    this.#windowStartedAt ??= now;
    if (now - this.#windowStartedAt < WINDOW_LENGTH) {
      return;
    }
    this.#recordStall(now);
    if (this.#latencies.weight + this.#failures < MIN_WINDOW_CALLS) {
      return;
    }
    this.#windowStartedAt = now;
    this.#updateBound(now);
    this.#latencies.reset();
    this.#failures = 0;
  }

  /**
   * No call of a stalled server ends, so the age of its oldest call is measured
   * instead.
   */
  #recordStall(now: number): void {
    const [oldest] = this.#startTimes.values();
    if (oldest === undefined || this.#latencies.weight > 0) {
      return;
    }
    const age = now - oldest;
    if (age > this.#toleratedLatency() * STALL_LATENCIES) {
      this.#latencies.record(age, MIN_WINDOW_CALLS);
    }
  }

  #updateBound(now: number): void {
    const inUse = this.running;
    if (
      this.#failures >
        MAX_FAILED_SHARE * (this.#failures + this.#latencies.weight)
    ) {
      this.#bound.cut(FAILURE_EXCESS, inUse);
      return;
    }
    const median = this.#latencies.quantile(0.5);
    this.#observeUnloaded(median, now);
    const bound = { bound: this.#bound, step: 1, inUse };
    this.#controller.endWindow(median, this.#toleratedLatency(), [bound]);
  }

  /**
   * Under lasting load the median of every window includes waiting time. Taken
   * for the unloaded latency, it would let the bound grow again and again.
   */
  #observeUnloaded(median: number, now: number): void {
    const unloadedCalls = Math.max(
      MAX_UNLOADED_CALLS,
      this.limit * MAX_UNLOADED_SHARE,
    );
    if (this.#unloaded.value === undefined || this.running <= unloadedCalls) {
      this.#unloaded.observe(median, now);
    }
  }

  /**
   * Tolerated latency in milliseconds; infinite until the first window has
   * ended.
   */
  #toleratedLatency(): number {
    const unloaded = this.#unloaded.value ?? Infinity;
    return LATENCY_TOLERANCE * Math.max(MIN_LATENCY, unloaded);
  }
}

/**
 * Limits a process's calls of a platform service to its share of the calls that
 * the service can serve for the whole fleet.
 *
 * Load pattern: hundreds of processes call one small service, and all of them
 * call it at once when it recovers from an outage. Without a budget their
 * retries keep it overloaded. The token bucket admits a short burst and then
 * only the process's fair share, however many calls the process attempts.
 * @module
 */

/** Calls per second of the fleet: half of the reads the service can serve. */
const SERVICE_CALLS_PER_SECOND = 1000;
/** Rate that a process needs even in the largest fleet. */
const MIN_CALLS_PER_SECOND = 1;
/** Rate that suffices for any process. */
const MAX_CALLS_PER_SECOND = 50;
/** Size of a burst, as seconds of calls at the sustained rate. */
const BURST_SECONDS = 4;

/** Rate and burst of a {@link CallBudget}. */
export type CallBudgetOptions = {
  /** Sustained rate, in calls per second. */
  perSecond: number;
  /** Calls that may be made at once. */
  burst: number;
};

/** Rate and burst with which `fleetSize` processes share the service evenly. */
export function callBudgetOptions(fleetSize: number): CallBudgetOptions {
  const share = SERVICE_CALLS_PER_SECOND / Math.max(1, fleetSize);
  const perSecond = Math.min(
    MAX_CALLS_PER_SECOND,
    Math.max(MIN_CALLS_PER_SECOND, share),
  );
  return { perSecond, burst: perSecond * BURST_SECONDS };
}

/**
 * Token bucket for calls; the current time is an argument. It stores the time
 * up to which calls are charged instead of a number of tokens, so that rounding
 * errors don't add up.
 */
export class CallBudget {
  #options: CallBudgetOptions;
  #chargedUntil = Number.NEGATIVE_INFINITY;
  #refusedCalls = 0;

  constructor(options: CallBudgetOptions) {
    this.#options = options;
  }

  /** Charges one call, or refuses it if over budget. `now` in milliseconds. */
  tryTake(now: number): boolean {
    if (this.timeUntilAllowed(now) > 0) {
      this.#refusedCalls += 1;
      return false;
    }
    this.charge(now, 1);
    return true;
  }

  /** Charges calls that could not wait; later calls wait the longer. */
  charge(now: number, calls: number): void {
    this.#chargedUntil = this.#nextStart(now) + calls * this.#interval;
  }

  /** Milliseconds until the budget allows the next call. */
  timeUntilAllowed(now: number): number {
    return Math.max(0, this.#nextStart(now) + this.#interval - now);
  }

  /** Calls refused since this object was created. */
  get refusedCalls(): number {
    return this.#refusedCalls;
  }

  /** Changes rate and burst when the fleet has grown or shrunk. */
  setRate(options: CallBudgetOptions): void {
    this.#options = options;
  }

  /** Milliseconds between calls at the sustained rate. */
  get #interval(): number {
    return 1000 / this.#options.perSecond;
  }

  /** Start of the next charge; unused time counts for one burst at most. */
  #nextStart(now: number): number {
    const { burst } = this.#options;
    return Math.max(this.#chargedUntil, now - burst * this.#interval);
  }
}

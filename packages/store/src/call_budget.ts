/**
 * A process's share of the calls that the platform's service grants the fleet.
 *
 * Load pattern: hundreds of processes call one small service, and all of them
 * want it at once when it returns from an outage. Without a budget their retries
 * hold it down. The token bucket lets a short burst through and then only the
 * process's fair share, whatever the process would like to do.
 * @module
 */

/** Reads a second that the platform's service carries, with half held back. */
const SERVICE_CALLS_PER_SECOND = 1000;
/** A process needs this many even in the largest fleet. */
const LEAST_CALLS_PER_SECOND = 1;
/** More than this no process has a use for. */
const MOST_CALLS_PER_SECOND = 50;
/** Seconds of the rate that may be spent at once. */
const BURST_SECONDS = 4;

/** Rate of a {@link CallBudget}. */
export type CallBudgetOptions = {
  /** Calls a second over the long run. */
  perSecond: number;
  /** Calls that may follow one another at once. */
  burst: number;
};

/** The rate that lets `fleetSize` processes share the service. */
export function callBudgetOptions(fleetSize: number): CallBudgetOptions {
  const share = SERVICE_CALLS_PER_SECOND / Math.max(1, fleetSize);
  const perSecond = Math.min(
    MOST_CALLS_PER_SECOND,
    Math.max(LEAST_CALLS_PER_SECOND, share),
  );
  return { perSecond, burst: perSecond * BURST_SECONDS };
}

/**
 * Token bucket over calls. Pure: the present time is an argument. It keeps the
 * time up to which calls are paid for instead of a number of tokens, so that no
 * rounding adds up.
 */
export class CallBudget {
  #options: CallBudgetOptions;
  #paidUntil = Number.NEGATIVE_INFINITY;
  #refused = 0;

  constructor(options: CallBudgetOptions) {
    this.#options = options;
  }

  /** Takes one call out of the budget, or refuses it. `now` in milliseconds. */
  take(now: number): boolean {
    if (this.waitFor(now) > 0) {
      this.#refused += 1;
      return false;
    }
    this.charge(now, 1);
    return true;
  }

  /** Counts calls that could not wait; those after them wait the longer. */
  charge(now: number, calls: number): void {
    this.#paidUntil = this.#startOfNext(now) + calls * this.#interval;
  }

  /** Milliseconds until a call fits the budget. */
  waitFor(now: number): number {
    return Math.max(0, this.#startOfNext(now) + this.#interval - now);
  }

  /** Calls refused since the start. */
  get refused(): number {
    return this.#refused;
  }

  /** Changes the rate when the fleet has grown or shrunk. */
  resize(options: CallBudgetOptions): void {
    this.#options = options;
  }

  get #interval(): number {
    return 1000 / this.#options.perSecond;
  }

  /** Unused time counts as far back as the burst reaches. */
  #startOfNext(now: number): number {
    const { burst } = this.#options;
    return Math.max(this.#paidUntil, now - burst * this.#interval);
  }
}

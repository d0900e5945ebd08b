/** Limits the rate at which a process commits claims. @module */
import type { CallBudget, CallBudgetOptions } from "../call_budget.ts";

/**
 * Calls per second of the whole fleet for the claims of one service. The
 * key-value service can serve several hundred writes per second.
 */
const FLEET_CALLS_PER_SECOND = 240;
/** Fraction of a fleet's processes that are entries, which serve callers. */
const ENTRY_FRACTION = 1 / 3;
const MAX_CALLS_PER_SECOND = 40;
const MIN_CALLS_PER_SECOND = 0.5;
/** Size of a burst, as seconds of calls at the sustained rate. */
const BURST_SECONDS = 1;

/**
 * Rate at which one process may call the key-value service for claims. With
 * fewer commits, each carries more claims: a claim then waits longer, but the
 * service is not overloaded.
 */
export function claimCommitBudgetOptions(fleetSize: number): CallBudgetOptions {
  const entries = Math.max(1, fleetSize * ENTRY_FRACTION);
  const share = FLEET_CALLS_PER_SECOND / entries;
  const perSecond = Math.min(
    MAX_CALLS_PER_SECOND,
    Math.max(MIN_CALLS_PER_SECOND, share),
  );
  return { perSecond, burst: Math.max(1, perSecond * BURST_SECONDS) };
}

/** Admits commits one at a time, at the rate of a call budget. */
export class CommitRateLimiter {
  #budget: CallBudget;
  #clock: () => number;
  #pause: (duration: number) => Promise<void>;
  #lastTurn: Promise<void> = Promise.resolve();

  constructor(
    options: {
      budget: CallBudget;
      /** Milliseconds. */
      clock: () => number;
      pause: (duration: number) => Promise<void>;
    },
  ) {
    this.#budget = options.budget;
    this.#clock = options.clock;
    this.#pause = options.pause;
  }

  /** Resolves when the commit may start; callers take turns in their order. */
  waitForTurn(): Promise<void> {
    this.#lastTurn = this.#lastTurn.then(() => this.#waitForBudget());
    return this.#lastTurn;
  }

  /**
   * Charges further calls within a commit. Load pattern: many processes write
   * one shard; each gets conflicts, retries at once and so causes conflicts for
   * the others. The calls of such retries delay the process's next commits,
   * which then carry more claims each.
   */
  charge(calls: number): void {
    this.#budget.charge(this.#clock(), calls);
  }

  async #waitForBudget(): Promise<void> {
    while (!this.#budget.tryTake(this.#clock())) {
      await this.#pause(this.#budget.timeUntilAllowed(this.#clock()));
    }
  }
}

/** Spaces a process's commits of claims. @module */
import type { CallBudget, CallBudgetOptions } from "../call_budget.ts";

/**
 * Commits a second of the whole fleet. The service carries several hundred
 * writes, and a commit that meets another process's takes two or three.
 */
const FLEET_COMMITS_PER_SECOND = 100;
/** Share of a fleet's processes that take callers' requests. */
const ENTRY_SHARE = 1 / 3;
const MOST_COMMITS_PER_SECOND = 20;
const LEAST_COMMITS_PER_SECOND = 0.5;
const BURST_SECONDS = 2;

/**
 * The rate at which one process commits claims. Fewer commits carry more claims
 * each: a claim then waits longer, but the service is not overrun.
 */
export function claimCommitOptions(fleetSize: number): CallBudgetOptions {
  const entries = Math.max(1, fleetSize * ENTRY_SHARE);
  const share = FLEET_COMMITS_PER_SECOND / entries;
  const perSecond = Math.min(
    MOST_COMMITS_PER_SECOND,
    Math.max(LEAST_COMMITS_PER_SECOND, share),
  );
  return { perSecond, burst: Math.max(1, perSecond * BURST_SECONDS) };
}

/** Lets commits go one by one, at the rate of a budget. */
export class CommitPace {
  #budget: CallBudget;
  #clock: () => number;
  #pause: (duration: number) => Promise<void>;
  #last: Promise<void> = Promise.resolve();

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

  /** Resolves when the next commit may go, in the order of the calls. */
  turn(): Promise<void> {
    this.#last = this.#last.then(() => this.#next());
    return this.#last;
  }

  async #next(): Promise<void> {
    while (!this.#budget.take(this.#clock())) {
      await this.#pause(this.#budget.waitFor(this.#clock()));
    }
  }
}

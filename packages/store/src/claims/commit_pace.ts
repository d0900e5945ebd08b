/** Spaces a process's commits of claims. @module */
import type { CallBudget, CallBudgetOptions } from "../call_budget.ts";

/**
 * Calls a second of the whole fleet for one service's claims, of the several
 * hundred writes that the key-value service carries.
 */
const FLEET_CALLS_PER_SECOND = 240;
/** Share of a fleet's processes that take callers' requests. */
const ENTRY_SHARE = 1 / 3;
const MOST_CALLS_PER_SECOND = 40;
const LEAST_CALLS_PER_SECOND = 0.5;
const BURST_SECONDS = 1;

/**
 * The rate at which one process may call for its claims. Fewer commits carry
 * more claims each: a claim then waits longer, but the service is not overrun.
 */
export function claimCommitBudgetOptions(fleetSize: number): CallBudgetOptions {
  const entries = Math.max(1, fleetSize * ENTRY_SHARE);
  const share = FLEET_CALLS_PER_SECOND / entries;
  const perSecond = Math.min(
    MOST_CALLS_PER_SECOND,
    Math.max(LEAST_CALLS_PER_SECOND, share),
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

  /**
   * Counts a call within a commit. Load pattern: many processes write one shard,
   * each loses races, tries again at once and so makes the others lose theirs.
   * What a commit spent on that is taken off the process's next commits, which
   * then carry more claims each.
   */
  charge(calls: number): void {
    this.#budget.charge(this.#clock(), calls);
  }

  async #next(): Promise<void> {
    while (!this.#budget.take(this.#clock())) {
      await this.#pause(this.#budget.waitFor(this.#clock()));
    }
  }
}

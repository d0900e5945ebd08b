/** Spaces a process's commits of claims. @module */
import type { CallBudget } from "../call_budget.ts";

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

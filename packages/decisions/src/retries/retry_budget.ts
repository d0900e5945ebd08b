/**
 * Bounds how often the placements of one service are repeated.
 *
 * Answers trouble that would multiply: when sidecars refuse or die, each
 * request places again, the survivors get several times the traffic and refuse
 * as well. A budget tied to what succeeds lets a few servers fail unnoticed and
 * falls silent by itself when most fail. One budget per service, so that one
 * service's trouble spends nothing of another's. Only placements are repeated;
 * a request that was handed over never is.
 *
 * Figures: a tenth of the granted requests may be placed again, so trouble adds
 * at most 10 % to the load; 2 a second go free, so that a service with little
 * traffic still survives the loss of a server; 50 can be saved up, which covers
 * what one server of a busy service holds when it dies.
 * @module
 */

const SHARE_OF_SUCCESSES = 0.1;
const FREE_PER_SECOND = 2;
const LARGEST_BALANCE = 50;

/** What a budget lets through. */
export type RetryBudgetOptions = {
  /** Retries earned by each success. */
  retriesPerSuccess?: number | undefined;
  refillPerSecond?: number | undefined;
  capacity?: number | undefined;
};

/** A token bucket filled by successes. */
export class RetryBudget {
  #share = SHARE_OF_SUCCESSES;
  #freePerSecond = FREE_PER_SECOND;
  #largest = LARGEST_BALANCE;
  #balance: number;
  #filledAt = -Infinity;

  constructor(options: RetryBudgetOptions = {}) {
    this.#use(options);
    this.#balance = this.#largest;
  }

  /** Changes the bounds from `now` on; a balance above the largest is lost. */
  configure(options: RetryBudgetOptions, now: number): void {
    this.#fill(now);
    this.#use(options);
    this.#balance = Math.min(this.#balance, this.#largest);
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(now: number): boolean {
    this.#fill(now);
    if (this.#balance < 1) return false;
    this.#balance--;
    return true;
  }

  /** States that a request was granted. */
  recordSuccess(now: number): void {
    this.#fill(now);
    this.#deposit(this.#share);
  }

  #use(options: RetryBudgetOptions): void {
    this.#share = options.retriesPerSuccess ?? SHARE_OF_SUCCESSES;
    this.#freePerSecond = options.refillPerSecond ?? FREE_PER_SECOND;
    this.#largest = options.capacity ?? LARGEST_BALANCE;
  }

  #fill(now: number): void {
    const elapsed = now - this.#filledAt;
    if (elapsed <= 0) return;
    this.#filledAt = now;
    if (elapsed < Infinity) {
      this.#deposit(elapsed / 1000 * this.#freePerSecond);
    }
  }

  #deposit(amount: number): void {
    this.#balance = Math.min(this.#balance + amount, this.#largest);
  }
}

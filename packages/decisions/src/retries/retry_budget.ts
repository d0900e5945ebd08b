/**
 * Limits the retries of the placements of one service.
 *
 * Guards against retry storms: when sidecars refuse or fail, each request is
 * placed again, the remaining sidecars get several times the traffic and refuse
 * as well. A budget tied to successes covers the failure of a few servers, and
 * stops retries when most servers fail. Each service has its own budget, so
 * that failures of one service don't use up the retries of another. Only
 * placements are retried; a request that was sent to a server never is.
 *
 * A tenth of the granted requests may be placed again, so retries add at most
 * 10 % to the load. Another 2 a second are always available, so that a service
 * with little traffic survives the loss of a server. Up to 50 can be saved,
 * which covers what one server of a busy service holds when it fails.
 * @module
 */

const RETRIES_PER_SUCCESS = 0.1;
const REFILL_PER_SECOND = 2;
const CAPACITY = 50;

/** Settings of a budget. */
export type RetryBudgetOptions = {
  /** Retries earned by each success. */
  retriesPerSuccess?: number | undefined;
  refillPerSecond?: number | undefined;
  capacity?: number | undefined;
};

/** A token bucket that is filled by successes and over time. */
export class RetryBudget {
  #retriesPerSuccess = RETRIES_PER_SUCCESS;
  #refillPerSecond = REFILL_PER_SECOND;
  #capacity = CAPACITY;
  #balance: number;
  #refilledAt = -Infinity;

  constructor(options: RetryBudgetOptions = {}) {
    this.#applyOptions(options);
    this.#balance = this.#capacity;
  }

  /**
   * Changes the options from `now` on; tokens beyond the new capacity are
   * dropped.
   */
  configure(options: RetryBudgetOptions, now: number): void {
    this.#refill(now);
    this.#applyOptions(options);
    this.#balance = Math.min(this.#balance, this.#capacity);
  }

  /** Takes one retry; false when the budget is exhausted. */
  tryTake(now: number): boolean {
    this.#refill(now);
    if (this.#balance < 1) return false;
    this.#balance--;
    return true;
  }

  /** Records that a request was granted. */
  recordSuccess(now: number): void {
    this.#refill(now);
    this.#deposit(this.#retriesPerSuccess);
  }

  #applyOptions(options: RetryBudgetOptions): void {
    this.#retriesPerSuccess = options.retriesPerSuccess ?? RETRIES_PER_SUCCESS;
    this.#refillPerSecond = options.refillPerSecond ?? REFILL_PER_SECOND;
    this.#capacity = options.capacity ?? CAPACITY;
  }

  #refill(now: number): void {
    const elapsed = now - this.#refilledAt;
    if (elapsed <= 0) return;
    this.#refilledAt = now;
    if (elapsed < Infinity) {
      this.#deposit(elapsed / 1000 * this.#refillPerSecond);
    }
  }

  #deposit(amount: number): void {
    this.#balance = Math.min(this.#balance + amount, this.#capacity);
  }
}

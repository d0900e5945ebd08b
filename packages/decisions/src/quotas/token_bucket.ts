/**
 * Token bucket that also admits amounts larger than its burst.
 *
 * In a plain token bucket an amount above the burst is never available. Here a
 * full bucket that is not used goes on saving tokens, for a single amount only.
 * Taking it leaves the bucket as far below zero as the amount exceeded the
 * burst, so nothing more is available for as long as was saved. Any window gets
 * at most the burst and the rate, whatever the amounts.
 * @module
 */

/**
 * Gains `ratePerSecond` tokens up to `burst`, and more while it is not used.
 */
export class TokenBucket {
  #balance: number;
  #filledAt: number;
  #ratePerSecond: number;
  #burst: number;
  /** Maximum number of tokens that an unused bucket saves for one amount. */
  #maximumSaved: number;

  /** `balance` is the number of tokens at the start; the burst if absent. */
  constructor(
    ratePerSecond: number,
    burst: number,
    now: number,
    balance = burst,
  ) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#maximumSaved = burst;
    this.#balance = balance;
    this.#filledAt = now;
  }

  /**
   * Changes the bounds; a balance above the new burst is lost. `maximumSaved`
   * is the largest amount that can be taken, if it is above the burst.
   */
  configure(
    ratePerSecond: number,
    burst: number,
    now: number,
    maximumSaved = burst,
  ): void {
    this.#fill(now);
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#maximumSaved = Math.max(burst, maximumSaved);
    this.#balance = Math.min(this.#balance, burst);
  }

  get burst(): number {
    return this.#burst;
  }

  /** True if {@link TokenBucket.take} would take `amount`. */
  allows(amount: number, now: number): boolean {
    this.#fill(now);
    return this.#burst > 0 && this.#balance >= amount;
  }

  /**
   * Takes `amount`; returns false and takes nothing if the balance is too low.
   */
  take(amount: number, now: number): boolean {
    if (!this.allows(amount, now)) return false;
    this.#balance = Math.min(this.#balance, this.#burst) - amount;
    return true;
  }

  /**
   * Takes `amount`, or the whole balance if it is lower; returns what was
   * taken.
   */
  takeUpTo(amount: number, now: number): number {
    this.#fill(now);
    const balance = Math.min(this.#balance, this.#burst);
    const taken = Math.min(amount, Math.max(0, balance));
    this.#balance = balance - taken;
    return taken;
  }

  /**
   * Returns tokens that were taken for work that did not run, up to the burst.
   */
  refund(amount: number): void {
    const balance = Math.min(this.#burst, this.#balance + amount);
    this.#balance = Math.max(this.#balance, balance);
  }

  /**
   * Milliseconds until `amount` can be taken, if nothing else is taken before.
   * 0 if the rate is zero, since the wait is unknown then.
   */
  waitFor(amount: number, now: number): number {
    this.#fill(now);
    const missing = amount - this.#balance;
    if (missing <= 0 || this.#ratePerSecond <= 0) return 0;
    return missing / this.#ratePerSecond * 1000;
  }

  #fill(now: number): void {
    const elapsed = Math.max(0, now - this.#filledAt);
    this.#filledAt = now;
    const gained = elapsed / 1000 * this.#ratePerSecond;
    this.#balance = Math.min(this.#maximumSaved, this.#balance + gained);
  }
}

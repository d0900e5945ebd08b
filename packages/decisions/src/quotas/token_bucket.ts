/**
 * A rate with a burst, filled by the passing of time.
 *
 * An amount above the burst could never pass. It may when the full bucket has not
 * been used for as long as the rest of the amount takes to come, and then nothing
 * passes for as long again: any window gets the burst and the rate at the most,
 * whatever the amounts.
 * @module
 */

/** Holds `burst` tokens, more while it is not used, and gains `ratePerSecond`. */
export class TokenBucket {
  #balance: number;
  #filledAt: number;
  #ratePerSecond: number;
  #burst: number;
  /** Most tokens that an unused bucket saves up for one amount. */
  #mostSaved: number;

  /** `balance`: what can be taken at once; the burst if absent. */
  constructor(
    ratePerSecond: number,
    burst: number,
    now: number,
    balance = burst,
  ) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#mostSaved = burst;
    this.#balance = balance;
    this.#filledAt = now;
  }

  /**
   * Changes the bounds; a balance above the new burst is lost. `mostSaved`: the
   * largest amount that may pass, if it is above the burst.
   */
  configure(
    ratePerSecond: number,
    burst: number,
    now: number,
    mostSaved = burst,
  ): void {
    this.#fill(now);
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#mostSaved = Math.max(burst, mostSaved);
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

  /** Takes `amount`; false, and nothing taken, when the balance is short. */
  take(amount: number, now: number): boolean {
    if (!this.allows(amount, now)) return false;
    this.#balance = Math.min(this.#balance, this.#burst) - amount;
    return true;
  }

  /** Takes `amount`, or what there is; the result is what was taken. */
  takeUpTo(amount: number, now: number): number {
    this.#fill(now);
    const balance = Math.min(this.#balance, this.#burst);
    const taken = Math.min(amount, Math.max(0, balance));
    this.#balance = balance - taken;
    return taken;
  }

  /** Gives back what was taken for work that did not run. */
  giveBack(amount: number): void {
    const balance = Math.min(this.#burst, this.#balance + amount);
    this.#balance = Math.max(this.#balance, balance);
  }

  /**
   * Milliseconds until `amount` can be taken, if nothing else is; 0 while nothing
   * is gained, since nobody can tell.
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
    this.#balance = Math.min(this.#mostSaved, this.#balance + gained);
  }
}

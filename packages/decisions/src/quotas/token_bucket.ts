/** A rate with a burst, filled by the passing of time. @module */

/** Holds at most `burst` tokens and gains `ratePerSecond`. */
export class TokenBucket {
  #balance: number;
  #filledAt: number;
  #ratePerSecond: number;
  #burst: number;

  /** `balance`: what can be taken at once; the burst if absent. */
  constructor(
    ratePerSecond: number,
    burst: number,
    now: number,
    balance = burst,
  ) {
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#balance = balance;
    this.#filledAt = now;
  }

  /** Changes the bounds; a balance above the new burst is lost. */
  configure(ratePerSecond: number, burst: number, now: number): void {
    this.#fill(now);
    this.#ratePerSecond = ratePerSecond;
    this.#burst = burst;
    this.#balance = Math.min(this.#balance, burst);
  }

  get burst(): number {
    return this.#burst;
  }

  /** True if {@link TokenBucket.take} would take `amount`. */
  allows(amount: number, now: number): boolean {
    this.#fill(now);
    return this.#burst > 0 && this.#balance >= Math.min(amount, this.#burst);
  }

  /** True if the balance is `amount` at least, also above the burst. */
  covers(amount: number, now: number): boolean {
    this.#fill(now);
    return this.#balance >= amount;
  }

  /**
   * Takes `amount`; false, and nothing taken, when the balance is short. An
   * amount above the whole burst passes on a full bucket and leaves a debt, or
   * it could never pass at all.
   */
  take(amount: number, now: number): boolean {
    if (!this.allows(amount, now)) return false;
    this.#balance -= amount;
    return true;
  }

  /** Takes `amount`, or what there is; the result is what was taken. */
  takeUpTo(amount: number, now: number): number {
    this.#fill(now);
    const taken = Math.min(amount, Math.max(0, this.#balance));
    this.#balance -= taken;
    return taken;
  }

  /** Gives back what was taken for work that did not run. */
  giveBack(amount: number): void {
    this.#balance = Math.min(this.#burst, this.#balance + amount);
  }

  /**
   * Milliseconds until `amount` can be taken, if nothing else is; 0 while nothing
   * is gained, since nobody can tell.
   */
  waitFor(amount: number, now: number): number {
    this.#fill(now);
    const missing = Math.min(amount, this.#burst) - this.#balance;
    if (missing <= 0 || this.#ratePerSecond <= 0) return 0;
    return missing / this.#ratePerSecond * 1000;
  }

  #fill(now: number): void {
    const elapsed = Math.max(0, now - this.#filledAt);
    this.#filledAt = now;
    const gained = elapsed / 1000 * this.#ratePerSecond;
    this.#balance = Math.min(this.#burst, this.#balance + gained);
  }
}

/** Counts that forget. @module */

/** Time, milliseconds, in which a count falls to about a third. */
export const COUNT_MEMORY = 10_000;

/** Successes and failures of the last seconds. */
export class DecayingCount {
  #successes = 0;
  #failures = 0;
  #at = 0;

  add(kind: "success" | "failure", now: number): void {
    this.#decay(now);
    if (kind === "success") this.#successes++;
    else this.#failures++;
  }

  failures(now: number): number {
    this.#decay(now);
    return this.#failures;
  }

  total(now: number): number {
    this.#decay(now);
    return this.#successes + this.#failures;
  }

  /** Moves everything counted here out of `sum`, which had counted it too. */
  takeOutOf(sum: DecayingCount, now: number): void {
    this.#decay(now);
    sum.#decay(now);
    sum.#successes = Math.max(sum.#successes - this.#successes, 0);
    sum.#failures = Math.max(sum.#failures - this.#failures, 0);
    this.#successes = 0;
    this.#failures = 0;
  }

  #decay(now: number): void {
    const elapsed = now - this.#at;
    if (elapsed <= 0) return;
    const factor = Math.exp(-elapsed / COUNT_MEMORY);
    this.#successes *= factor;
    this.#failures *= factor;
    this.#at = now;
  }
}

/** Exponentially decaying counts. @module */

/** Milliseconds in which a count decays to 1/e, about a third. */
export const COUNT_TIME_CONSTANT = 10_000;

/** Recent successes and failures. */
export class DecayingCount {
  #successes = 0;
  #failures = 0;
  #updatedAt = 0;

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

  /**
   * Subtracts these counts from `sum`, which includes them, and resets them.
   */
  moveOutOf(sum: DecayingCount, now: number): void {
    this.#decay(now);
    sum.#decay(now);
    sum.#successes = Math.max(sum.#successes - this.#successes, 0);
    sum.#failures = Math.max(sum.#failures - this.#failures, 0);
    this.#successes = 0;
    this.#failures = 0;
  }

  #decay(now: number): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed <= 0) return;
    const factor = Math.exp(-elapsed / COUNT_TIME_CONSTANT);
    this.#successes *= factor;
    this.#failures *= factor;
    this.#updatedAt = now;
  }
}

/**
 * Running mean that follows changes, with the number of its observations.
 * @module
 */

/** Number of observations after which the mean decays exponentially. */
const WINDOW = 50;
/** Number of own observations that a prior counts as. */
const PRIOR_WEIGHT = 4;

/** Exact mean of the first observations, exponentially weighted afterwards. */
export class RunningMean {
  #mean = 0;
  #count = 0;

  get count(): number {
    return this.#count;
  }

  observe(value: number): void {
    this.#count = Math.min(WINDOW, this.#count + 1);
    this.#mean += (value - this.#mean) / this.#count;
  }

  /** Returns the mean, shrunk towards `prior` while observations are few. */
  shrunkTowards(prior: number): number {
    const weight = this.#count + PRIOR_WEIGHT;
    return (this.#mean * this.#count + prior * PRIOR_WEIGHT) / weight;
  }
}

/** A mean that follows changes, with how far it may be trusted. @module */

/** Observations that the mean remembers. */
const MEMORY = 50;
/** A parent's mean counts as this many observations of one's own. */
const PARENT_WEIGHT = 4;

/** Exact over the first observations, exponentially forgetting afterwards. */
export class RunningMean {
  #mean = 0;
  #count = 0;

  get count(): number {
    return this.#count;
  }

  observe(value: number): void {
    this.#count = Math.min(MEMORY, this.#count + 1);
    this.#mean += (value - this.#mean) / this.#count;
  }

  /** The mean, drawn towards `parent` while observations are few. */
  drawnTowards(parent: number): number {
    const weight = this.#count + PARENT_WEIGHT;
    return (this.#mean * this.#count + parent * PARENT_WEIGHT) / weight;
  }
}

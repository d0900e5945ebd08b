/** Quantiles of the most recent values. @module */

/** Number of values that are kept. */
const SAMPLE_SIZE = 256;
/** Number of new values after which a full sample is sorted again. */
const SORT_INTERVAL = 8;

/** Sample of the most recent values; exact quantiles while it is not full. */
export class RecentQuantiles {
  readonly #values: number[] = [];
  #sorted: number[] = [];
  #next = 0;
  #unsorted = 0;

  add(value: number): void {
    this.#values[this.#next] = value;
    this.#next = (this.#next + 1) % SAMPLE_SIZE;
    this.#unsorted++;
  }

  /**
   * Returns the `quantile`, from 0 to 1; `undefined` before the first value.
   */
  value(quantile: number): number | undefined {
    this.#sort();
    const last = this.#sorted.length - 1;
    return this.#sorted[Math.round(last * quantile)];
  }

  #sort(): void {
    const full = this.#sorted.length === SAMPLE_SIZE;
    if (this.#unsorted === 0 || full && this.#unsorted < SORT_INTERVAL) return;
    this.#sorted = [...this.#values].sort((one, other) => one - other);
    this.#unsorted = 0;
  }
}

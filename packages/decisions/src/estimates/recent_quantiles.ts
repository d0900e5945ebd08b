/** Quantiles of the latest values, exact from the first one on. @module */

/** Values that are remembered. */
const SAMPLE = 256;
/** Values between two sortings of a full sample. */
const SORTED_EVERY = 8;

/** See the module. */
export class RecentQuantiles {
  readonly #values: number[] = [];
  #sorted: number[] = [];
  #next = 0;
  #unsorted = 0;

  add(value: number): void {
    this.#values[this.#next] = value;
    this.#next = (this.#next + 1) % SAMPLE;
    this.#unsorted++;
  }

  /** `quantile` lies between 0 and 1; `undefined` before the first value. */
  value(quantile: number): number | undefined {
    this.#sort();
    const last = this.#sorted.length - 1;
    return this.#sorted[Math.round(last * quantile)];
  }

  #sort(): void {
    const full = this.#sorted.length === SAMPLE;
    if (this.#unsorted === 0 || full && this.#unsorted < SORTED_EVERY) return;
    this.#sorted = [...this.#values].sort((one, other) => one - other);
    this.#unsorted = 0;
  }
}

/** Estimates a quantile without storing the values. @module */

const STEP = 0.05;

/**
 * A larger value raises the estimate by up to 5 %, a smaller one lowers it,
 * weighted so that it settles at the quantile.
 */
export class RunningQuantile {
  readonly #quantile: number;
  #value: number | undefined;

  /** `quantile` is between 0 and 1; `value` is a known estimate. */
  constructor(quantile: number, value?: number) {
    this.#quantile = quantile;
    this.#value = value;
  }

  get value(): number | undefined {
    return this.#value;
  }

  add(value: number): void {
    if (this.#value === undefined) this.#value = value;
    else if (value > this.#value) this.#value *= 1 + STEP * this.#quantile;
    else this.#value *= 1 - STEP * (1 - this.#quantile);
  }
}

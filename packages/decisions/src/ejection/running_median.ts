/** Estimates a median without storing the values. @module */

const STEP = 0.02;

/**
 * Each value moves the estimate by 2 %, unless another step is given; about 50
 * values move it by a factor of e.
 */
export class RunningMedian {
  readonly #step: number;
  #value: number | undefined;

  constructor(step = STEP) {
    this.#step = step;
  }

  get value(): number | undefined {
    return this.#value;
  }

  add(value: number): void {
    if (this.#value === undefined) this.#value = value;
    else if (value > this.#value) this.#value *= 1 + this.#step;
    else if (value < this.#value) this.#value /= 1 + this.#step;
  }
}

/** A median that follows its values without storing them. @module */

const STEP = 0.02;

/** Moves by 2 % towards each value: some 50 values move it by a factor of e. */
export class RunningMedian {
  #value: number | undefined;

  get value(): number | undefined {
    return this.#value;
  }

  add(value: number): void {
    if (this.#value === undefined) this.#value = value;
    else if (value > this.#value) this.#value *= 1 + STEP;
    else if (value < this.#value) this.#value /= 1 + STEP;
  }
}

/** Lower quartile of the last values. @module */

const MAXIMUM_VALUES = 40;
const MINIMUM_VALUES = 5;

/** What is usual, even if up to half of the values are far above it. */
export class RecentQuartile {
  readonly #values: number[] = [];
  #value: number | undefined;

  /** `undefined` before there are enough values. */
  get value(): number | undefined {
    if (this.#values.length < MINIMUM_VALUES) return undefined;
    this.#value ??= quartileOf(this.#values);
    return this.#value;
  }

  add(value: number): void {
    this.#values.push(value);
    if (this.#values.length > MAXIMUM_VALUES) this.#values.shift();
    this.#value = undefined;
  }
}

function quartileOf(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 4)]!;
}

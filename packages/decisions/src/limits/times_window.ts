/**
 * Quantiles of the times measured since the last look, in constant memory.
 * Buckets grow by a tenth, so a quantile is off by at most a twentieth: finer
 * than the steps in which the limits move.
 * @module
 */

const SMALLEST = 0.1;
const GROWTH = 1.1;
const LOG_GROWTH = Math.log(GROWTH);
const BUCKETS = 150;

/** Times in milliseconds, each with a weight. */
export class TimesWindow {
  readonly #weights = new Float64Array(BUCKETS);
  #weight = 0;
  #count = 0;

  /** Total weight of the times held. */
  get weight(): number {
    return this.#weight;
  }

  /** How many times are held. */
  get count(): number {
    return this.#count;
  }

  add(milliseconds: number, weight = 1): void {
    const ratio = Math.max(SMALLEST, milliseconds) / SMALLEST;
    const bucket = Math.floor(Math.log(ratio) / LOG_GROWTH);
    const index = Math.min(BUCKETS - 1, bucket);
    this.#weights[index] = (this.#weights[index] ?? 0) + weight;
    this.#weight += weight;
    this.#count += 1;
  }

  /** The time that a share `q` of the weight does not exceed; 0 when empty. */
  quantile(q: number): number {
    let left = q * this.#weight;
    for (const [index, weight] of this.#weights.entries()) {
      left -= weight;
      if (weight > 0 && left <= 0) {
        return SMALLEST * GROWTH ** (index + 0.5);
      }
    }
    return 0;
  }

  reset(): void {
    this.#weights.fill(0);
    this.#weight = 0;
    this.#count = 0;
  }
}

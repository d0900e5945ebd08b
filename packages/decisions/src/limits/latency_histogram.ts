/**
 * A histogram that gives quantiles of the times since the last reset, in
 * constant memory. Each bucket is a tenth wider than the one before, so a
 * quantile is off by at most a twentieth, which is finer than the steps in
 * which the limits move.
 * @module
 */

/** Milliseconds; shorter times count as this. */
const MIN_TIME = 0.1;
const BUCKET_GROWTH = 1.1;
const LOG_BUCKET_GROWTH = Math.log(BUCKET_GROWTH);
const BUCKET_COUNT = 150;

/** Times are in milliseconds, each with a weight. */
export class LatencyHistogram {
  readonly #weights = new Float64Array(BUCKET_COUNT);
  #weight = 0;
  #count = 0;

  /** Total weight of the recorded times. */
  get weight(): number {
    return this.#weight;
  }

  /** Number of recorded times. */
  get count(): number {
    return this.#count;
  }

  record(milliseconds: number, weight = 1): void {
    const ratio = Math.max(MIN_TIME, milliseconds) / MIN_TIME;
    const bucket = Math.floor(Math.log(ratio) / LOG_BUCKET_GROWTH);
    const index = Math.min(BUCKET_COUNT - 1, bucket);
    this.#weights[index] = (this.#weights[index] ?? 0) + weight;
    this.#weight += weight;
    this.#count += 1;
  }

  /**
   * Returns the time that the share `q` of the weight does not exceed; 0 if
   * empty.
   */
  quantile(q: number): number {
    let remaining = q * this.#weight;
    for (const [index, weight] of this.#weights.entries()) {
      remaining -= weight;
      if (weight > 0 && remaining <= 0) {
        return MIN_TIME * BUCKET_GROWTH ** (index + 0.5);
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

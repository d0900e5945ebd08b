/**
 * Measures by how much demand exceeded what was predicted.
 * @module
 */

/** Milliseconds ahead for which the forecast error is tracked. */
const HORIZONS = [2, 4, 8, 12, 16, 20] as const;
const LONGEST = HORIZONS[HORIZONS.length - 1]!;
/** Weight of the newest error in the mean, which covers some five seconds. */
const NEWEST_WEIGHT = 0.05;

/**
 * Mean excess of demand over its predictions, by how far ahead they were made.
 * Demand below a prediction does no harm and counts as no error.
 */
export class ForecastError {
  /** Predictions by the span that they are for, and their horizon. */
  readonly #predicted = HORIZONS.map(() => new Map<number, number>());
  readonly #means = HORIZONS.map(() => 0);

  /**
   * Compares the demand of the span with what was predicted for it, and takes
   * new predictions.
   */
  record(
    span: number,
    demand: number,
    predict: (ahead: number) => number,
  ): void {
    for (const [index, horizon] of HORIZONS.entries()) {
      const predictions = this.#predicted[index]!;
      const predicted = predictions.get(span);
      if (predicted !== undefined) {
        const error = Math.max(0, demand - predicted);
        this.#means[index]! += NEWEST_WEIGHT * (error - this.#means[index]!);
      }
      for (const past of predictions.keys()) {
        if (past > span) break;
        predictions.delete(past);
      }
      predictions.set(span + horizon, predict(horizon));
    }
  }

  /** Mean excess over predictions for this many spans ahead, in slots. */
  after(spans: number): number {
    if (spans >= LONGEST) return this.#means.at(-1)!;
    const index = HORIZONS.findIndex((horizon) => horizon >= spans);
    return this.#means[index]!;
  }
}

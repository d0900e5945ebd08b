/** Rates of arrivals with their trend, for short forecasts. @module */

/**
 * Milliseconds over which the two counts decay. The shorter one holds some tens
 * of requests of a class; the difference of both shows the trend.
 */
const SHORT_DECAY = 1000;
const LONG_DECAY = 3000;
/** Milliseconds ahead for which the rate is forecast: until the next plan. */
const HORIZON = 250;
/**
 * Weight of the difference of both rates. A decaying count lags by its decay
 * time behind a rate that changes steadily.
 */
const TREND_WEIGHT = (SHORT_DECAY + HORIZON) / (LONG_DECAY - SHORT_DECAY);

/**
 * An amount per millisecond. It rises from 0 when arrivals begin, so that a few
 * requests at once, as after a take-over, do not count as a flood.
 */
export class DecayingRate {
  #short = 0;
  #long = 0;
  #updatedAt = 0;

  add(amount: number, now: number): void {
    this.#decay(now);
    this.#short += amount / SHORT_DECAY;
    this.#long += amount / LONG_DECAY;
  }

  /** Returns the rate that is expected shortly after `now`. */
  forecast(now: number): number {
    this.#decay(now);
    const trend = TREND_WEIGHT * (this.#short - this.#long);
    return Math.max(0, this.#short + trend);
  }

  #decay(now: number): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed <= 0) return;
    this.#updatedAt = now;
    this.#short *= Math.exp(-elapsed / SHORT_DECAY);
    this.#long *= Math.exp(-elapsed / LONG_DECAY);
  }
}

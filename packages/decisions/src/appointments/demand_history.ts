/**
 * Slot time that arriving requests need, by sort key, over the last second and
 * over a time longer than a wave.
 * @module
 */
import { keyStep, WorkByKey } from "./work_by_key.ts";

/** Milliseconds of a span, the resolution of the forecast. */
export const SPAN = 250;
/** Spans whose mean is the present level: as long as a cluster of arrivals. */
const LEVEL_SPANS = 4;
/** Spans of the long-term mean: longer than a wave of 13 s. */
const MEAN_SPANS = 56;
/** Quantile of the spans that is taken as the demand between bursts. */
const BASE_QUANTILE = 0.25;

/**
 * Spans without any request after which earlier ones are forgotten: another
 * entry may have granted meanwhile.
 */
const MAXIMUM_GAP = 8;

/** Returns the index of the span in which a time lies. */
export function spanOf(time: number): number {
  return Math.floor(time / SPAN);
}

/** Demand in slots: the slot time that arrives in a unit of time. */
export type Demand = {
  /** In the last second. */
  level: number;
  /** In the last 14 s. */
  mean: number;
  /** Between bursts: what a quarter of the last 14 s stays below. */
  base: number;
};

/** Arrivals in complete spans of {@link SPAN} milliseconds. */
export class DemandHistory {
  readonly #spans = Array.from(
    { length: MEAN_SPANS + 1 },
    () => new WorkByKey(),
  );
  readonly #level = new WorkByKey();
  readonly #mean = new WorkByKey();
  /** Work of each complete span, by its index. */
  readonly #totals = new Map<number, number>();
  /** Demand between bursts as a fraction of the mean. */
  #baseFraction = 1;
  #first: number | undefined;
  #current = 0;

  /** `work`: slot time of the request in milliseconds. */
  record(key: number, work: number, now: number): void {
    this.advance(now);
    this.#span(this.#current).add(keyStep(key), work);
  }

  /** Number of complete spans of which the demand is known. */
  get complete(): number {
    if (this.#first === undefined) return 0;
    return Math.min(MEAN_SPANS, this.#current - this.#first);
  }

  /** Completes the spans that ended before `now`. */
  advance(now: number): void {
    const current = spanOf(now);
    if (this.#first === undefined || current - this.#current > MAXIMUM_GAP) {
      this.#restart(current);
      return;
    }
    while (this.#current < current) this.#completeSpan();
  }

  /** Demand of keys before `step`; zero while no span is complete. */
  below(step: number): Demand {
    const { complete } = this;
    if (complete === 0) return { level: 0, mean: 0, base: 0 };
    const levelTime = Math.min(LEVEL_SPANS, complete) * SPAN;
    const mean = this.#mean.below(step) / (complete * SPAN);
    return {
      level: this.#level.below(step) / levelTime,
      mean,
      base: mean * this.#baseFraction,
    };
  }

  #span(index: number): WorkByKey {
    return this.#spans[index % this.#spans.length]!;
  }

  #restart(current: number): void {
    for (const work of [...this.#spans, this.#level, this.#mean]) work.clear();
    this.#totals.clear();
    this.#baseFraction = 1;
    this.#first = current;
    this.#current = current;
  }

  #completeSpan(): void {
    const completed = this.#span(this.#current);
    this.#level.addAll(completed);
    this.#mean.addAll(completed);
    this.#current++;
    this.#removeFrom(this.#level, this.#current - LEVEL_SPANS - 1);
    this.#removeFrom(this.#mean, this.#current - MEAN_SPANS - 1);
    this.#span(this.#current).clear();
    this.#totals.set(this.#current - 1, completed.total);
    this.#totals.delete(this.#current - 1 - MEAN_SPANS);
    this.#updateBaseFraction();
  }

  #updateBaseFraction(): void {
    const totals = [...this.#totals.values()].sort((one, other) => one - other);
    const sum = totals.reduce((all, total) => all + total, 0);
    const base = totals[Math.floor(totals.length * BASE_QUANTILE)] ?? 0;
    this.#baseFraction = sum > 0 ? base * totals.length / sum : 1;
  }

  #removeFrom(sum: WorkByKey, index: number): void {
    if (index >= (this.#first ?? 0)) sum.subtract(this.#span(index));
  }
}

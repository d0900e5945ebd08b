/**
 * Predicts how much capacity of a service will be free at what time.
 *
 * The present demand says little about the demand in some seconds: bursts last
 * 3 to 6 s and waves 11 to 13 s. So demand above the usual is predicted to last
 * for 3 s and then to end, and demand below it to return to the mean of the last
 * 14 s. Demand that exceeds the slots is carried over, since refused callers
 * return. The forecast states by how much demand exceeded earlier predictions;
 * that much is not counted as free.
 * @module
 */
import { DemandHistory, SPAN, spanOf } from "./demand_history.ts";
import type { Demand } from "./demand_history.ts";
import { ForecastError } from "./forecast_error.ts";
import { keyStep, WorkByKey } from "./work_by_key.ts";

/**
 * Milliseconds for which demand above the usual is predicted to last, and in
 * which demand below it returns to the mean: bursts last 3 to 6 s.
 */
const BURST_TIME = 3000;
/** Number of spans that are predicted: the longest delay, and a run after it. */
export const FORECAST_SPANS = 32;
/** Complete spans without which nothing is predicted: one second. */
const MINIMUM_SPANS = 4;
/** Milliseconds after which servers and waiting requests are read again. */
const REFRESH_INTERVAL = 100;
/**
 * Demand of others, as a multiple of all slots, that excludes a request. At
 * twice the slots some excluded requests would still have been served in time.
 */
const EXCLUSION_FACTOR = 3;
/** Greatest key, before which all demand lies. */
const ALL_KEYS = keyStep(Infinity);

/** Servers and requests of a service at one time. */
export type CapacityInputs = {
  /** Slots that the group can use. */
  slots: number;
  running: number;
  /** Mean run time of requests in milliseconds. */
  runTime: number;
  /** Keys and run times of the waiting requests without an appointment. */
  waiting: Iterable<{ key: number; runTime: number }>;
};

/** Free slot time in milliseconds by span, from the span `first` on. */
export type FreeCapacity = { first: number; spans: Float64Array };

/** Forecast of one service. */
export class CapacityForecast {
  readonly #history = new DemandHistory();
  readonly #error = new ForecastError();
  /** Mean excess over predictions, by the number of spans ahead. */
  readonly #errors = new Float64Array(FORECAST_SPANS);
  readonly #waiting = new WorkByKey();
  readonly #cache = new Map<number, FreeCapacity>();
  #inputs: Omit<CapacityInputs, "waiting"> | undefined;
  #refreshedAt = -Infinity;
  #errorSpan = 0;

  /** Counts a request that was not refused before. */
  recordArrival(key: number, runTime: number, now: number): void {
    this.#history.record(key, runTime, now);
  }

  /** False in the first second after the first request. */
  get isKnown(): boolean {
    return this.#history.complete >= MINIMUM_SPANS;
  }

  /** Milliseconds since servers and waiting requests were read. */
  age(now: number): number {
    return now - this.#refreshedAt;
  }

  /** Slots of the group when they were last read. */
  get slots(): number {
    return this.#inputs?.slots ?? 0;
  }

  /** Mean excess of demand, in slots, over predictions for `delay` milliseconds ahead. */
  errorAfter(delay: number): number {
    return this.#error.after(delay / SPAN);
  }

  /** Reads the inputs if they are older than 100 ms. */
  refresh(read: () => CapacityInputs, now: number): void {
    if (this.age(now) < REFRESH_INTERVAL) return;
    const { waiting, ...inputs } = read();
    this.#inputs = inputs;
    this.#refreshedAt = now;
    this.#cache.clear();
    this.#waiting.clear();
    for (const { key, runTime } of waiting) {
      this.#waiting.add(keyStep(key), runTime);
    }
    this.#history.advance(now);
    this.#recordError(now);
  }

  /**
   * Capacity that requests with smaller keys leave free, times a fraction that
   * applies until the inputs are read again.
   */
  freeFor(key: number, fraction = 1): FreeCapacity {
    const step = keyStep(key);
    let free = this.#cache.get(step);
    if (free === undefined) {
      free = this.#predict(step, fraction);
      this.#cache.set(step, free);
    }
    return free;
  }

  /**
   * Whether requests with smaller keys alone need far more than all slots. A
   * request that is not owed a grant gets no turn then.
   */
  isExcluded(key: number): boolean {
    const { level } = this.#history.below(keyStep(key));
    return level > this.slots * EXCLUSION_FACTOR;
  }

  #recordError(now: number): void {
    const span = spanOf(now);
    if (span === this.#errorSpan || !this.isKnown) return;
    this.#errorSpan = span;
    const demand = this.#history.below(ALL_KEYS);
    this.#error.record(
      span,
      demand.level,
      (ahead) => expectedDemand(demand, ahead * SPAN),
    );
    for (let ahead = 0; ahead < FORECAST_SPANS; ahead++) {
      this.#errors[ahead] = this.#error.after(ahead);
    }
  }

  #predict(step: number, fraction: number): FreeCapacity {
    const first = spanOf(this.#refreshedAt) + 1;
    const spans = new Float64Array(FORECAST_SPANS);
    const { slots, running, runTime } = this.#inputs ??
      { slots: 0, running: 0, runTime: 0 };
    const demand = this.#history.below(step);
    const all = this.#history.below(ALL_KEYS);
    const part = all.mean > 0 ? Math.min(1, demand.mean / all.mean) : 0;
    const errors = this.#errors;
    const untilFirst = first * SPAN - this.#refreshedAt;
    // A running request is half done on average.
    let ahead = this.#waiting.below(step) + running * runTime / 2 +
      (demand.level - slots) * untilFirst;
    for (let index = 0; index < FORECAST_SPANS; index++) {
      const expected = expectedDemand(demand, index * SPAN);
      ahead = Math.max(0, ahead) + expected * SPAN;
      const used = Math.min(ahead, slots * SPAN);
      ahead -= used;
      const uncertain = part * errors[index]! * SPAN;
      spans[index] = fraction *
        Math.max(0, slots * SPAN - used - uncertain);
    }
    return { first, spans };
  }
}

function expectedDemand({ level, mean, base }: Demand, delay: number): number {
  if (level <= base) {
    return level + (mean - level) * Math.min(1, delay / BURST_TIME);
  }
  return delay < BURST_TIME ? level : base;
}

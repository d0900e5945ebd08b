/** What slowness is usual for one backend server. @module */
import { RunningMedian } from "./running_median.ts";

/**
 * Relative change by one response. It takes 200 responses to follow a change by
 * a factor of e, so that a server that is slow for some seconds is still
 * compared with its speed before.
 */
const STEP = 0.005;
/** Responses after which the record is conclusive. */
const MINIMUM_OBSERVATIONS = 8;
/**
 * Milliseconds without responses after which the record is discarded. It
 * outlasts the longest ejection, a minute.
 */
const RETENTION = 120_000;

/** The record of one server: the median slowness of its past responses. */
export class UsualSlowness {
  #median = new RunningMedian(STEP);
  #observations = 0;
  #observedAt = -Infinity;

  add(slowness: number, now: number): void {
    if (now - this.#observedAt > RETENTION) {
      this.#median = new RunningMedian(STEP);
      this.#observations = 0;
    }
    this.#observations++;
    this.#observedAt = now;
    this.#median.add(slowness);
  }

  /** `undefined` without a conclusive record. */
  value(now: number): number | undefined {
    if (now - this.#observedAt > RETENTION) return undefined;
    return this.#observations < MINIMUM_OBSERVATIONS
      ? undefined
      : this.#median.value;
  }
}

/**
 * What one backend server reported last, as far as it still says something.
 *
 * A report is a sample of a state that changes about every 600 ms, so its
 * weight decreases with its age: without a newer report, the pace is the usual
 * one and no other requests are assumed after a second.
 * @module
 */
import type { ServerLoad } from "./parse_server_load.ts";

/** A load, when it was observed, and by which entry. */
export type LoadReport = {
  load: ServerLoad;
  /** Milliseconds of the granting entry's clock. */
  observedAt: number;
  by: string;
};

/** Milliseconds after which a report says nothing any more. */
const VALIDITY = 1000;
/** Pace in percent at which work takes as long as usual. */
const USUAL_PACE = 100;
/**
 * Bounds of a pace as a factor, like those of a latency ratio, so that a single
 * wrong report has little effect.
 */
export const MINIMUM_PACE = 0.2;
const MAXIMUM_PACE = 5;

/** The last report of one server incarnation. */
export class ReportedLoad {
  #report: LoadReport | undefined;
  #pace = 1;
  /** Requests that the group does not know of. */
  #otherRuns = 0;
  /** Integral of the pace until the last report. */
  #integral = 0;

  /** The last report, of any age. */
  get last(): LoadReport | undefined {
    return this.#report;
  }

  /**
   * Records a report, unless a newer one is known. `knownRuns`: requests of the
   * group that the server runs now.
   */
  observe(report: LoadReport, knownRuns: number): void {
    const { load, observedAt } = report;
    if (observedAt < this.#observedAt) return;
    this.#integral = this.paceIntegral(observedAt);
    this.#report = report;
    const { running, waiting, pace = USUAL_PACE } = load;
    const factor = pace / USUAL_PACE;
    this.#pace = Math.min(MAXIMUM_PACE, Math.max(MINIMUM_PACE, factor));
    this.#otherRuns = Math.max(0, running + waiting - knownRuns);
  }

  /** Factor by which work takes longer than usual. */
  pace(now: number): number {
    return 1 + (this.#pace - 1) * this.#weight(now);
  }

  /** Requests of others that occupy slots. */
  otherRuns(now: number): number {
    return Math.round(this.#otherRuns * this.#weight(now));
  }

  /**
   * Integral of the pace over time in milliseconds; the difference between two
   * times is the mean pace between them times their distance.
   */
  paceIntegral(now: number): number {
    if (this.#report === undefined) return now;
    const elapsed = Math.max(0, now - this.#observedAt);
    const valid = Math.min(elapsed, VALIDITY);
    const excess = (this.#pace - 1) * (valid - valid ** 2 / (2 * VALIDITY));
    return this.#integral + elapsed + excess;
  }

  get #observedAt(): number {
    return this.#report?.observedAt ?? -Infinity;
  }

  #weight(now: number): number {
    if (this.#report === undefined) return 0;
    const age = Math.max(0, now - this.#report.observedAt);
    return Math.max(0, 1 - age / VALIDITY);
  }
}

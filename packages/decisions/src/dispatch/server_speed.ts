/**
 * How fast one backend server is: its usual speed, learned from responses, and
 * the pace of its machine, which it reports.
 *
 * Two ratios are learned of each latency: as measured, and divided by the pace
 * reported with it, which is the server's own usual speed. The second one times
 * the pace is expected while measurements confirm the reports, else the first.
 * @module
 */
import { PaceConfirmation, ReportedLoad } from "../server_load/mod.ts";
import type { LoadReport } from "../server_load/mod.ts";
import { LatencyRatio } from "./latency_ratio.ts";

/** Latency ratios of one server, and the load that it reports. */
export class ServerSpeed {
  readonly #load = new ReportedLoad();
  readonly #confirmation = new PaceConfirmation();
  readonly #firstToken = new PacedRatio();
  readonly #decode = new PacedRatio();

  /** True after the first response. */
  get isKnown(): boolean {
    return this.#firstToken.measured.isKnown;
  }

  /** The last report, of any age. */
  get lastReport(): LoadReport | undefined {
    return this.#load.last;
  }

  /** See {@link ReportedLoad.observe}. */
  observeLoad(report: LoadReport, knownRuns: number): void {
    this.#load.observe(report, knownRuns);
  }

  /** See {@link ReportedLoad.otherRuns}. */
  otherRuns(now: number): number {
    return this.#load.otherRuns(now);
  }

  /** Reported pace, whether or not measurements confirm it. */
  reportedPace(now: number): number {
    return this.#load.pace(now);
  }

  /** See {@link ReportedLoad.paceIntegral}. */
  paceIntegral(now: number): number {
    return this.#load.paceIntegral(now);
  }

  /**
   * Ratio of the expected time to the first token to the nominal one. `usesPace`
   * is false where reports are not to be used.
   */
  firstTokenRatio(now: number, fallback: number, usesPace: boolean): number {
    return this.#expected(this.#firstToken, now, fallback, usesPace);
  }

  /** The same for the time from the first token to the last. */
  decodeRatio(now: number, fallback: number, usesPace: boolean): number {
    return this.#expected(this.#decode, now, fallback, usesPace);
  }

  /**
   * Learns from a time to the first token. `paceAtGrant`: the reported pace when
   * the request was granted. Returns the pace by which the time is to be divided
   * wherever else it is learned from; 1 while reports are not confirmed.
   */
  recordFirstToken(
    measured: number,
    nominal: number,
    paceAtGrant: number,
    now: number,
  ): number {
    const pace = this.#load.pace(now);
    if (this.isKnown && this.#load.last !== undefined) {
      const ratios = this.#firstToken;
      this.#confirmation.record(
        measured / nominal,
        ratios.usual.value(now, 1) * paceAtGrant,
        ratios.measured.value(now, 1),
      );
    }
    this.#firstToken.observe(measured, nominal, pace, now);
    return this.#confirmation.isConfirmed ? pace : 1;
  }

  /** The same for a decode time, during which `pace` was the mean pace. */
  recordDecode(
    measured: number,
    nominal: number,
    pace: number,
    now: number,
  ): number {
    this.#decode.observe(measured, nominal, pace, now);
    return this.#confirmation.isConfirmed ? pace : 1;
  }

  #expected(
    ratios: PacedRatio,
    now: number,
    fallback: number,
    usesPace: boolean,
  ): number {
    return usesPace && this.#confirmation.isConfirmed
      ? ratios.usual.value(now, fallback) * this.#load.pace(now)
      : ratios.measured.value(now, fallback);
  }
}

/** Ratios of a latency to the nominal one, as measured and at the usual pace. */
class PacedRatio {
  readonly measured = new LatencyRatio();
  readonly usual = new LatencyRatio();

  observe(measured: number, nominal: number, pace: number, now: number): void {
    this.measured.observe(measured, nominal, now);
    this.usual.observe(measured / pace, nominal, now);
  }
}

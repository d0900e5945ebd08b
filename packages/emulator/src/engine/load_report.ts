/** The load that an engine reports, with a lag. @module */

/** What `GET /load` answers. */
export type LoadReport = {
  running: number;
  waiting: number;
  cachedTokens: number;
  /** Milliseconds since the epoch. */
  measuredAt: number;
};

/** Measures anew only when the last report is older than the lag. */
export class LaggingLoadReport {
  readonly #lag: number;
  readonly #measure: () => Omit<LoadReport, "measuredAt">;
  #last: LoadReport | undefined;

  constructor(lag: number, measure: () => Omit<LoadReport, "measuredAt">) {
    this.#lag = lag;
    this.#measure = measure;
  }

  read(now: number): LoadReport {
    if (this.#last === undefined || now - this.#last.measuredAt >= this.#lag) {
      this.#last = { ...this.#measure(), measuredAt: now };
    }
    return this.#last;
  }
}

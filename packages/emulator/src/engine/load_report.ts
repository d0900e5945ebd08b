/** The load that an engine reports, out of date by up to a set age. @module */

/** Response body of `GET /load`. */
export type LoadReport = {
  running: number;
  waiting: number;
  cachedTokens: number;
  /** Milliseconds since 1970. */
  measuredAt: number;
};

/**
 * Takes a new measurement only when the last one has reached `maxAge`
 * milliseconds.
 */
export class CachedLoadReport {
  readonly #maxAge: number;
  readonly #measure: () => Omit<LoadReport, "measuredAt">;
  #last: LoadReport | undefined;

  constructor(maxAge: number, measure: () => Omit<LoadReport, "measuredAt">) {
    this.#maxAge = maxAge;
    this.#measure = measure;
  }

  read(now: number): LoadReport {
    if (
      this.#last === undefined || now - this.#last.measuredAt >= this.#maxAge
    ) {
      this.#last = { ...this.#measure(), measuredAt: now };
    }
    return this.#last;
  }
}

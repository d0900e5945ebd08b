/**
 * Judges whether the pace that a server reports makes predictions of its
 * latency better.
 *
 * A server may report a wrong pace, by a fault or to be sent more requests. So
 * each response is compared with what was expected with the reported pace and
 * without it, and the pace counts only while the former is at least as good.
 * @module
 */

/** Weight of the newest error; the mean covers about the last twenty. */
const NEWEST_WEIGHT = 0.05;
/**
 * Ratio of the errors up to which a pace counts. A constant pace, whatever it
 * is, makes predictions neither better nor worse.
 */
const MAXIMUM_ERROR_RATIO = 0.97;
/** Responses before which a pace does not count. */
const MINIMUM_RESPONSES = 3;

/** Mean prediction errors of one server. */
export class PaceConfirmation {
  #responses = 0;
  #errorWith = 0;
  #errorWithout = 0;

  /** Whether the reported pace is to be used. */
  get isConfirmed(): boolean {
    return this.#responses >= MINIMUM_RESPONSES &&
      this.#errorWith <= MAXIMUM_ERROR_RATIO * this.#errorWithout;
  }

  /** Records a measured latency and the two predictions of it, all above 0. */
  record(
    measured: number,
    predictedWith: number,
    predictedWithout: number,
  ): void {
    this.#responses++;
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.#responses);
    const errorWith = Math.abs(Math.log(measured / predictedWith));
    const errorWithout = Math.abs(Math.log(measured / predictedWithout));
    this.#errorWith += weight * (errorWith - this.#errorWith);
    this.#errorWithout += weight * (errorWithout - this.#errorWithout);
  }
}

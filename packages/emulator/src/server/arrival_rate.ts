/** Counts the requests of the last second. @module */

/** Milliseconds for which an arrival counts. */
const WINDOW = 1000;

export class ArrivalRate {
  #arrivals: number[] = [];

  /** Records an arrival; returns the arrivals in the second up to it. */
  record(now: number): number {
    this.#arrivals = this.#arrivals.filter((at) => now - at < WINDOW);
    this.#arrivals.push(now);
    return this.#arrivals.length;
  }
}

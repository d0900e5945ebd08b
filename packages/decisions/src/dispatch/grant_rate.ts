/** How many grants a service's servers allow in a second. @module */

/** Milliseconds over which grants are counted: longer than most runs. */
const WINDOW = 2000;

/** Times of the last grants. */
export class GrantRate {
  #times: number[] = [];
  #startedAt: number | undefined;

  granted(now: number): void {
    this.#startedAt ??= now;
    this.#times.push(now);
    this.#drop(now);
  }

  /** Grants in a second; `undefined` until a whole window was seen. */
  perSecond(now: number): number | undefined {
    if (this.#startedAt === undefined || now - this.#startedAt < WINDOW) {
      return undefined;
    }
    this.#drop(now);
    return this.#times.length / WINDOW * 1000;
  }

  #drop(now: number): void {
    let old = 0;
    while (old < this.#times.length && this.#times[old]! < now - WINDOW) old++;
    if (old > 0) this.#times.splice(0, old);
  }
}

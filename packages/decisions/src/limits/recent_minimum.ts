/**
 * The smallest value of the last ten to twenty seconds, which estimates the
 * value of the unloaded server. With an all-time minimum, a server would count
 * as slow for ever once it has been replaced by an older generation or given a
 * larger model.
 * @module
 */

/** In milliseconds. */
const PERIOD = 10_000;

/**
 * The last minimum stays if no new value comes. Values are kept as the minima
 * of two periods, so that old ones can be dropped without a list of values.
 */
export class RecentMinimum {
  #current = Infinity;
  #previous = Infinity;
  #rotatedAt = -Infinity;

  observe(value: number, now: number): void {
    this.#rotate(now);
    this.#current = Math.min(this.#current, value);
  }

  /** The minimum, or `undefined` before the first value. */
  get value(): number | undefined {
    const smallest = Math.min(this.#current, this.#previous);
    return Number.isFinite(smallest) ? smallest : undefined;
  }

  #rotate(now: number): void {
    if (now - this.#rotatedAt < PERIOD) {
      return;
    }
    if (Number.isFinite(this.#current)) {
      this.#previous = this.#current;
      this.#current = Infinity;
    }
    this.#rotatedAt = now;
  }
}

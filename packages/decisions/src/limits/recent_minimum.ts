/**
 * The smallest value of the last ten to twenty seconds: what an unloaded server
 * shows. A minimum of all time would call a server slow for ever once it has
 * been replaced by an older generation or given a larger model.
 * @module
 */

const SPAN = 10_000;

/**
 * Without a new value the last one stays. Kept in two halves, so that
 * forgetting needs no list of values.
 */
export class RecentMinimum {
  #current = Infinity;
  #previous = Infinity;
  #turned = -Infinity;

  observe(value: number, now: number): void {
    this.#turn(now);
    this.#current = Math.min(this.#current, value);
  }

  /** The minimum; undefined before the first value. */
  get value(): number | undefined {
    const smallest = Math.min(this.#current, this.#previous);
    return Number.isFinite(smallest) ? smallest : undefined;
  }

  #turn(now: number): void {
    if (now - this.#turned < SPAN) {
      return;
    }
    if (Number.isFinite(this.#current)) {
      this.#previous = this.#current;
      this.#current = Infinity;
    }
    this.#turned = now;
  }
}

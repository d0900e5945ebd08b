/**
 * Whether a service takes in more than its places allow, and which asks are then
 * beyond its reach.
 *
 * An ask that all places will go past while its caller waits is better told so at
 * once, with the time to come back, than held until its caller leaves.
 * @module
 */

/** Milliseconds over which arrivals are counted: longer than a clump of them. */
const WINDOW = 2000;
/** Milliseconds over which grants are counted. */
const RATE_WINDOW = 1000;

type Arrival = { at: number; key: number; time: number };

/** Grants and arrivals of the last seconds. */
export class GrantRate {
  #granted: number[] = [];
  #arrivals: Arrival[] = [];

  granted(now: number): void {
    this.#granted.push(now);
  }

  /** `time`: milliseconds for which the ask is expected to take a place. */
  arrived(key: number, time: number, now: number): void {
    this.#arrivals.push({ at: now, key, time });
  }

  /** Grants in a second. */
  perSecond(now: number): number {
    this.#granted = after(this.#granted, now - RATE_WINDOW, (at) => at);
    return this.#granted.length;
  }

  /** Milliseconds for which an ask takes a place, of those that came lately. */
  meanTime(now: number): number {
    this.#arrivals = after(this.#arrivals, now - WINDOW, ({ at }) => at);
    let time = 0;
    for (const arrival of this.#arrivals) time += arrival.time;
    return time / Math.max(1, this.#arrivals.length);
  }

  /**
   * True when what arrives and goes before `key` takes up all `places`, at the
   * rate of the last seconds.
   */
  beyondReach(key: number, places: number, now: number): boolean {
    this.#arrivals = after(this.#arrivals, now - WINDOW, ({ at }) => at);
    let time = 0;
    for (const arrival of this.#arrivals) {
      if (arrival.key < key) time += arrival.time;
    }
    return time > places * WINDOW;
  }
}

/** The items from the first one that is not older than `since`. */
function after<Item>(
  items: Item[],
  since: number,
  timeOf: (item: Item) => number,
): Item[] {
  const first = items.findIndex((item) => timeOf(item) >= since);
  if (first === 0) return items;
  return first < 0 ? [] : items.slice(first);
}

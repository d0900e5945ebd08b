/**
 * Measures whether demand for a service exceeds its capacity, and for which
 * requests no capacity is left then.
 *
 * If requests that go first take up all capacity while a caller waits, it is
 * better refused at once, with a retry delay, than held until it disconnects.
 * @module
 */

/**
 * Milliseconds over which arrivals are counted; longer than a cluster of them.
 */
const ARRIVAL_WINDOW = 2000;
/** Milliseconds over which grants are counted. */
const GRANT_WINDOW = 1000;

type Arrival = { at: number; key: number; time: number };

/** Recent arrivals and grants of one service. */
export class ServiceDemand {
  #grants: number[] = [];
  #arrivals: Arrival[] = [];

  recordGrant(now: number): void {
    this.#grants.push(now);
  }

  /** `time` is the expected slot time of the request in milliseconds. */
  recordArrival(key: number, time: number, now: number): void {
    this.#arrivals.push({ at: now, key, time });
  }

  /** Grants in the last second. */
  grantsPerSecond(now: number): number {
    this.#grants = itemsSince(this.#grants, now - GRANT_WINDOW, (at) => at);
    return this.#grants.length;
  }

  /** Mean expected slot time of recent requests, in milliseconds. */
  meanSlotTime(now: number): number {
    this.#arrivals = itemsSince(
      this.#arrivals,
      now - ARRIVAL_WINDOW,
      ({ at }) => at,
    );
    let time = 0;
    for (const arrival of this.#arrivals) time += arrival.time;
    return time / Math.max(1, this.#arrivals.length);
  }

  /**
   * True if requests with a smaller sort key than `key` arrive, at the recent
   * rate, faster than `slots` can serve them.
   */
  exceedsCapacity(key: number, slots: number, now: number): boolean {
    this.#arrivals = itemsSince(
      this.#arrivals,
      now - ARRIVAL_WINDOW,
      ({ at }) => at,
    );
    let time = 0;
    for (const arrival of this.#arrivals) {
      if (arrival.key < key) time += arrival.time;
    }
    return time > slots * ARRIVAL_WINDOW;
  }
}

/**
 * Returns the items, in order of time, from the first one at or after `since`.
 */
function itemsSince<Item>(
  items: Item[],
  since: number,
  timeOf: (item: Item) => number,
): Item[] {
  const first = items.findIndex((item) => timeOf(item) >= since);
  if (first === 0) return items;
  return first < 0 ? [] : items.slice(first);
}

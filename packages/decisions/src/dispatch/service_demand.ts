/**
 * Measures whether demand for a service exceeds its capacity, and for which
 * requests no capacity is left then.
 *
 * If requests that are served first take up all capacity, a request is better
 * refused at once, with a retry delay, than kept waiting until its caller
 * disconnects.
 * @module
 */

/**
 * Milliseconds over which arrivals are counted; longer than a cluster of
 * arrivals lasts.
 */
const ARRIVAL_WINDOW = 2000;
/** Milliseconds over which grants are counted. */
const GRANT_WINDOW = 1000;

type Arrival = { at: number; key: number; runTime: number };

/** Recent arrivals and grants of one service. */
export class ServiceDemand {
  #grants: number[] = [];
  #arrivals: Arrival[] = [];

  recordGrant(now: number): void {
    this.#grants.push(now);
  }

  /** `runTime` is the expected run time of the request in milliseconds. */
  recordArrival(key: number, runTime: number, now: number): void {
    this.#arrivals.push({ at: now, key, runTime });
  }

  /** Grants in the last second. */
  grantsPerSecond(now: number): number {
    this.#grants = itemsSince(this.#grants, now - GRANT_WINDOW, (at) => at);
    return this.#grants.length;
  }

  /** Mean expected run time of recent requests, in milliseconds. */
  meanRunTime(now: number): number {
    this.#arrivals = itemsSince(
      this.#arrivals,
      now - ARRIVAL_WINDOW,
      ({ at }) => at,
    );
    let time = 0;
    for (const arrival of this.#arrivals) time += arrival.runTime;
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
      if (arrival.key < key) time += arrival.runTime;
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

/**
 * Staggers the timeouts of the entries' watches on the store.
 *
 * A connection to the store may fail without being closed, and a watch on it
 * shows nothing until its timeout. Entries tell each other what they read, so
 * it is enough that the watch of one entry ends soon. The entries take turns at
 * the shortest timeout, and the number of calls to the store does not grow with
 * the fleet. A change ends the watches of all entries at the same moment, so
 * the order is rotated by one for each watch.
 *
 * When a fleet starts, each entry and each server registers. If every
 * registration ended the watches of all entries, the number of calls would grow
 * with the square of the fleet. A delay after each watch that returned changes
 * coalesces them.
 * @module
 */

/**
 * Maximum timeout in milliseconds; the store discards its history of changes
 * after about 20 s.
 */
const MAXIMUM_TIMEOUT = 16_000;

/** Milliseconds of delay after changes, for each entry of the group. */
const DELAY_PER_ENTRY = 10;
/** Upper bound of that delay in milliseconds. */
const MAXIMUM_DELAY = 1000;

/** Number of connected entries, this one included, and its rank among them. */
export type WatchGroup = { rank: number; size: number };

/** The timeouts of successive watches on one prefix. */
export class WatchTimeouts {
  readonly #shortestTimeout: number;
  #rotation = 0;

  /** `shortest` is the shortest timeout in a group, in milliseconds. */
  constructor(shortest: number) {
    this.#shortestTimeout = shortest;
  }

  /** Milliseconds to delay the next watch after one that returned changes. */
  coalescingDelay({ size }: WatchGroup): number {
    return Math.min(MAXIMUM_DELAY, DELAY_PER_ENTRY * size);
  }

  /** Returns the timeout of the next watch in milliseconds. */
  nextTimeout({ rank, size }: WatchGroup): number {
    const position = (rank + this.#rotation) % size;
    this.#rotation++;
    return Math.min(MAXIMUM_TIMEOUT, this.#shortestTimeout * (position + 1));
  }
}

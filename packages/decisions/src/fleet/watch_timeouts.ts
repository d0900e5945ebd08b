/**
 * How long each entry lets the store hold its watches.
 *
 * A connection to the store may go silent without being closed, and a watch on it
 * shows nothing until it ends. Entries tell each other what they read, so it is
 * enough that the watch of some entry ends soon: they take turns, and the calls to
 * the store do not grow with the fleet. All are woken by a change at the same
 * moment, so each turn takes another place in the order.
 *
 * When a fleet starts, each entry and each server registers. If every registration
 * ended the watches of all entries, the number of calls would grow with the square
 * of the fleet. A delay after each watch that returned changes coalesces them.
 * @module
 */

/** Milliseconds: the store forgets what it tells watches after some 20 s. */
const LONGEST_WAIT = 16_000;

/** Milliseconds of delay after changes, for each entry of the group. */
const DELAY_PER_ENTRY = 10;
/** Upper bound of that delay in milliseconds. */
const LONGEST_DELAY = 1000;

/** Entries that hear each other, and this one's place among them. */
export type WatchGroup = { rank: number; size: number };

/** The waits of one watch, one after the other. */
export class WatchTimeouts {
  readonly #shortest: number;
  #turn = 0;

  /** `shortest`: milliseconds until the first of a group's watches ends. */
  constructor(shortest: number) {
    this.#shortest = shortest;
  }

  /** Milliseconds to delay the next watch after one that returned changes. */
  coalescingDelay({ size }: WatchGroup): number {
    return Math.min(LONGEST_DELAY, DELAY_PER_ENTRY * size);
  }

  /** Milliseconds. */
  nextTimeout({ rank, size }: WatchGroup): number {
    const place = (rank + this.#turn) % size;
    this.#turn++;
    return Math.min(LONGEST_WAIT, this.#shortest * (place + 1));
  }
}

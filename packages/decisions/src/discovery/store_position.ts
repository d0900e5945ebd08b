/**
 * Positions in the history of the platform's store.
 *
 * The store may be restored from an older copy. Each restore begins an era, in
 * which revisions of the lost history are given out again.
 * @module
 */

/** A revision of the store, and the era that it belongs to. */
export type StorePosition = { era: number; revision: number };

/** Comes before all positions. */
export const FIRST_POSITION: StorePosition = { era: 0, revision: 0 };

/** True if `position` comes after `other`. */
export function isLater(
  position: StorePosition,
  other: StorePosition,
): boolean {
  return position.era === other.era
    ? position.revision > other.revision
    : position.era > other.era;
}

/** Returns the later one of two positions. */
export function laterOf(
  position: StorePosition,
  other: StorePosition,
): StorePosition {
  return isLater(other, position) ? other : position;
}

/**
 * Groups reservations by the amount of work, so that a long reservation that
 * does not fit does not block the short ones behind it. With a single queue,
 * one quote at the head would leave unused the capacity that a hundred
 * identifications could use.
 *
 * Each class spans a factor of eight. A quote is about a hundred times the work
 * of an identification, so the two are two classes apart whatever the unit.
 * Eight classes cover work of 1 to 16 million; more classes would only make
 * each decision slower.
 * @module
 */

const CLASS_SPAN_BITS = 3;
const LARGEST_SIZE_CLASS = 7;

/**
 * The class of suspect requests, each of which has to wait for an idle server.
 */
export const SUSPECT_CLASS = LARGEST_SIZE_CLASS + 1;

/** Number of size classes, including that of suspects. */
export const SIZE_CLASS_COUNT = SUSPECT_CLASS + 1;

/** Returns the size class for an amount of work. */
export function sizeClassOf(work: number): number {
  const bits = Math.floor(Math.log2(Math.max(1, work)));
  return Math.min(LARGEST_SIZE_CLASS, Math.floor(bits / CLASS_SPAN_BITS));
}

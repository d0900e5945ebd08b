/**
 * Long and short work wait in separate lanes, so that a long head which finds
 * no room does not hold up the short ones behind it. Without lanes, one quote
 * at the head of the queue idles the room that a hundred identifications could
 * use.
 *
 * Each class spans a factor of eight. A quote is about a hundred times an
 * identification, so the two are two classes apart whatever the unit, and eight
 * classes cover work of 1 to 16 million; more would only cost time per decision.
 * @module
 */

const CLASS_SPAN_BITS = 3;
const LARGEST_SIZE_CLASS = 7;

/** The lane of suspects: each waits for an empty server. */
export const SUSPECT_CLASS = LARGEST_SIZE_CLASS + 1;

/** How many lanes there are. */
export const SIZE_CLASSES = SUSPECT_CLASS + 1;

/** The class of an amount of work. */
export function sizeClassOf(work: number): number {
  const bits = Math.floor(Math.log2(Math.max(1, work)));
  return Math.min(LARGEST_SIZE_CLASS, Math.floor(bits / CLASS_SPAN_BITS));
}

/** Distances between an entry and backend servers. @module */

/**
 * The parts of a fleet that a choice may use, smallest first: the own data
 * centre, the own region, all regions.
 */
export const REACHES = ["dataCentre", "region", "everywhere"] as const;

/** The part of the fleet that a choice may use. */
export type Reach = typeof REACHES[number];

/**
 * Index into {@link REACHES} of the smallest part of the fleet that contains
 * the server.
 */
export type Distance = 0 | 1 | 2;

/** Returns the region of a data centre. */
export type RegionOf = (dataCentre: string) => string;

/** Returns the distance between two data centres. */
export function distanceBetween(
  from: string,
  to: string,
  regionOf: RegionOf,
): Distance {
  if (from === to) return 0;
  return regionOf(from) === regionOf(to) ? 1 : 2;
}

/** How far a backend server is from the entry that asks. @module */

/** Nearest first: own data centre, own region, any region. */
export const REACHES = ["dataCentre", "region", "everywhere"] as const;

/** The farthest backend servers that a choice may use. */
export type Reach = typeof REACHES[number];

/** Index into {@link REACHES} of the nearest reach that holds the server. */
export type Distance = 0 | 1 | 2;

/** Gives the region of a data centre. */
export type RegionOf = (dataCentre: string) => string;

/** Distance from one data centre to another. */
export function distanceBetween(
  from: string,
  to: string,
  regionOf: RegionOf,
): Distance {
  if (from === to) return 0;
  return regionOf(from) === regionOf(to) ? 1 : 2;
}

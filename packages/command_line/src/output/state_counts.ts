/** Formats how many processes report each state. @module */

/** The only state, or each state with its number of processes. */
export function formatStateCounts(counts: Record<string, number>): string {
  const entries = Object.entries(counts);
  return entries.length === 1
    ? entries[0]?.[0] ?? ""
    : entries.map(([state, count]) => `${state} in ${count}`).join(", ");
}

/** Counts the processes that have a revision in force. @module */
import type { FleetMember } from "./read_fleet.ts";

/**
 * Counts processes that responded, and those with at least `revision` in force.
 */
export function countInForce(
  fleet: FleetMember[],
  revision: number,
): { inForce: number; answered: number } {
  let inForce = 0;
  let answered = 0;
  for (const { result } of fleet) {
    if (result.isErr) {
      continue;
    }
    answered += 1;
    inForce += result.value.configurationRevision >= revision ? 1 : 0;
  }
  return { inForce, answered };
}

/** How far a revision has come in the fleet. @module */
import type { FleetMember } from "./read_fleet.ts";

/** Processes that answered, and those that have at least `revision` in force. */
export function countInForce(
  fleet: FleetMember[],
  revision: number,
): { inForce: number; answered: number } {
  let inForce = 0;
  let answered = 0;
  for (const { answer } of fleet) {
    if (answer.isErr) {
      continue;
    }
    answered += 1;
    inForce += answer.value.configurationRevision >= revision ? 1 : 0;
  }
  return { inForce, answered };
}

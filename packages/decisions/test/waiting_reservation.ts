/** Creates waiting reservations with default values for tests. @module */
import type { WaitingReservation } from "../src/mod.ts";

export function waitingReservation(
  id: string,
  fields: Partial<WaitingReservation> = {},
): WaitingReservation {
  return {
    id,
    tierRank: 0,
    organisation: "one",
    weight: 1,
    cost: { promptTokens: 0, outputTokens: 1 },
    deadline: 60_000,
    arrived: 0,
    ...fields,
  };
}

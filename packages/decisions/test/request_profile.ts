import type { LoadKind } from "./fleet_simulation.ts";

/** Returns the load of one organisation, with overrides. */
export function loadKind(
  organisation: string,
  perSecond: number,
  changes: Partial<LoadKind> = {},
): LoadKind {
  return {
    name: organisation,
    service: "assistant",
    tierRank: 0,
    routeRank: 0,
    organisation,
    rate: () => perSecond,
    goal: 600,
    patience: 2000,
    deadline: 15_000,
    prompt: 900,
    output: 90,
    spread: 0.9,
    ...changes,
  };
}

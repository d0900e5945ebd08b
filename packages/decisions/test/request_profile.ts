import type { RequestProfile } from "./fleet_simulation.ts";

/** Returns the request profile of one organisation, changed by `changes`. */
export function requestProfile(
  organisation: string,
  perSecond: number,
  changes: Partial<RequestProfile> = {},
): RequestProfile {
  return {
    name: organisation,
    service: "assistant",
    tierRank: 0,
    routeRank: 0,
    organisation,
    rate: () => perSecond,
    latencyGoal: 600,
    maximumWait: 2000,
    deadline: 15_000,
    prompt: 900,
    output: 90,
    spread: 0.9,
    ...changes,
  };
}

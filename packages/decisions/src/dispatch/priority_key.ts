/**
 * Orders waiting requests by the value of a response per time that it occupies
 * a slot.
 *
 * In a burst slots are scarce, and responses differ widely in how long they
 * occupy one: in order of arrival most slot time would go to the few longest
 * responses. Each tier is worth a fixed factor more than the next one, so a
 * long response of a high tier may wait behind short ones of the next tier. A
 * response that misses its latency goal has a fraction of the value of a timely
 * one.
 * @module
 */
import type { GrantRequest, RequestStanding } from "./grant_request.ts";
import { nominalSlotTime } from "./latency_ratio.ts";

/**
 * Factor by which a response is worth more than one of the next lower tier.
 * Operators state only the order of the tiers.
 */
const TIER_FACTOR = 25;
/** The same factor between routes of one tier, for each step of their rank. */
const ROUTE_FACTOR = 5;
/** Value of a late response as a fraction of a timely one's. */
const LATE_VALUE = 0.02;
/**
 * Value of a response to a retrying caller as a fraction of a timely one's. It
 * is higher than that of other late responses, as a second refusal is final.
 */
const RETRY_VALUE = 0.4;
/**
 * Weight of a millisecond of arrival time in the key: equal requests are served
 * first come, first served.
 */
const ARRIVAL_WEIGHT = 1e-6;

/** Names the tier and route of a request. */
export function priorityClassOf(
  { tierRank, routeRank }: { tierRank: number; routeRank: number },
): string {
  return `${tierRank}.${routeRank}`;
}

/**
 * Returns the sort key of a request; the smallest key is served first. `value`
 * is the value of the response relative to others of its tier and route.
 */
export function priorityKey(
  request: GrantRequest,
  standing: RequestStanding,
  value: number,
): number {
  const valueOfResponse = standingValue(standing) * value;
  const key = nominalSlotTime(request.cost) * rankFactor(request) /
    valueOfResponse;
  return key + request.arrived * ARRIVAL_WEIGHT;
}

/**
 * Returns by how much a response of the highest tier's most urgent route is
 * worth more than one of this tier and route.
 */
export function rankFactor(
  { tierRank, routeRank }: { tierRank: number; routeRank: number },
): number {
  return TIER_FACTOR ** tierRank * ROUTE_FACTOR ** routeRank;
}

/** Value of a response by the standing of its request; 1 if it is timely. */
export function standingValue(standing: RequestStanding): number {
  return STANDING_VALUES[standing];
}

const STANDING_VALUES: Record<RequestStanding, number> = {
  timely: 1,
  appointed: RETRY_VALUE,
  returned: RETRY_VALUE,
  late: LATE_VALUE,
};

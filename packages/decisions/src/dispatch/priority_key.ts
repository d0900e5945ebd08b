/**
 * How much is gained by serving an ask, for the time that it takes up a place.
 *
 * In a burst places are short, and answers differ widely in how long they hold
 * one: order of arrival spends most places on the few longest answers. A tier is
 * worth a fixed factor more than the next, so a long answer of a high tier may
 * wait behind short ones of the next. A late answer is worth a part of one that
 * can still be on time.
 * @module
 */
import type { AskStanding, GrantRequest } from "./grant_request.ts";
import { nominalUse } from "./latency_ratio.ts";

/**
 * Times more that a tier's answer is worth than one of the next tier: operators
 * state only the order.
 */
const TIER_FACTOR = 25;
/** The same between routes of one tier. */
const ROUTE_FACTOR = 5;
/** What an answer is worth that comes too late, beside one on time. */
const LATE_PART = 0.02;
/**
 * The same for a caller that was refused before and has come back as told: a
 * second refusal ends its tries.
 */
const RETURNED_PART = 0.4;
/** Weight of arrival in the order of equal asks: first come, first served. */
const ARRIVAL_WEIGHT = 1e-6;

/**
 * Sorts asks: the smallest is served first. `value`: of the answer, beside the
 * others of its tier.
 */
export function askKey(
  ask: GrantRequest,
  standing: AskStanding,
  value: number,
): number {
  const part = PARTS[standing] * value;
  const rank = TIER_FACTOR ** ask.tierRank * ROUTE_FACTOR ** ask.routeRank;
  const key = nominalUse(ask.cost) * rank / part;
  return key + ask.arrived * ARRIVAL_WEIGHT;
}

const PARTS: Record<AskStanding, number> = {
  timely: 1,
  returned: RETURNED_PART,
  late: LATE_PART,
};

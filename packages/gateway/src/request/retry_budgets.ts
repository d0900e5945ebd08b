/** This entry's share of the retries that a service allows. @module */
import { RetryBudget } from "@sycamorepulley/decisions";
import type { RetryBudgetOptions } from "@sycamorepulley/decisions";
import type { GatewayBounds } from "../settings.ts";

/** Fraction of the allowed retries to use, as others may count differently. */
const USED_FRACTION = 0.6;

/** Takes a retry from the budget of the service; false if it is exhausted. */
export type ConsumeRetry = (service: string, now: number) => boolean;

/** Keeps a budget for each service, by the current bounds and total shares. */
export function createRetryBudgets(
  bounds: () => GatewayBounds,
  totalShares: () => number,
): ConsumeRetry {
  const budgets = new Map<string, RetryBudget>();
  return (service, now) => {
    const options = budgetOptions(bounds(), Math.max(1, totalShares()));
    const existing = budgets.get(service);
    existing?.configure(options, now);
    const budget = existing ?? new RetryBudget(options);
    budgets.set(service, budget);
    return budget.tryTake(now);
  };
}

function budgetOptions(
  bounds: GatewayBounds,
  totalShares: number,
): RetryBudgetOptions {
  const { retryRatio, retrySlack, retryWindowSeconds } = bounds;
  // In one window, the stored half and the refilled half add up to the slack.
  const usedSlack = retrySlack * USED_FRACTION / totalShares;
  return {
    retriesPerSuccess: retryRatio * USED_FRACTION,
    refillPerSecond: usedSlack / 2 / retryWindowSeconds,
    capacity: Math.max(2, usedSlack / 2),
  };
}

/** This entry's share of the retries that a service allows. @module */
import { RetryBudget } from "@sycamorepulley/decisions";
import type { RetryBudgetOptions } from "@sycamorepulley/decisions";
import type { GatewayBounds } from "../settings.ts";

/** Share of the fleet's retries that is used, as others may count them differently. */
const USED_SHARE = 0.6;

/** Takes a retry from the budget of the service; false if it is exhausted. */
export type ConsumeRetry = (service: string, now: number) => boolean;

/** Keeps a budget for each service, by the current bounds and number of entries. */
export function createRetryBudgets(
  bounds: () => GatewayBounds,
  entries: () => number,
): ConsumeRetry {
  const budgets = new Map<string, RetryBudget>();
  return (service, now) => {
    const options = budgetOptions(bounds(), Math.max(1, entries()));
    const existing = budgets.get(service);
    existing?.configure(options, now);
    const budget = existing ?? new RetryBudget(options);
    budgets.set(service, budget);
    return budget.tryTake(now);
  };
}

function budgetOptions(
  bounds: GatewayBounds,
  entries: number,
): RetryBudgetOptions {
  const { retryRatio, retrySlack, retryWindowSeconds } = bounds;
  const largest = retrySlack * USED_SHARE / entries;
  return {
    retriesPerSuccess: retryRatio * USED_SHARE,
    refillPerSecond: largest / 2 / retryWindowSeconds,
    capacity: Math.max(2, largest / 2),
  };
}

/** This entry's part of the resends that a service allows. @module */
import { RetryBudget } from "@sycamorepulley/decisions";
import type { RetryBudgetOptions } from "@sycamorepulley/decisions";
import type { GatewayBounds } from "../settings.ts";

/** Part of the fleet's resends that is used: others may count otherwise. */
const USED_SHARE = 0.6;

/** Takes a resend of the service; false when its budget is spent. */
export type ConsumeRetry = (service: string, now: number) => boolean;

/** One budget a service, by the bounds and the number of entries at each time. */
export function createRetryBudgets(
  bounds: () => GatewayBounds,
  entries: () => number,
): ConsumeRetry {
  const budgets = new Map<string, RetryBudget>();
  return (service, now) => {
    const options = budgetOptions(bounds(), Math.max(1, entries()));
    const known = budgets.get(service);
    known?.configure(options, now);
    const budget = known ?? new RetryBudget(options);
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

/** This entry's part of the resends that a service allows. @module */
import { RetryBudget } from "@sycamorepulley/decisions";
import type { RetryBudgetOptions } from "@sycamorepulley/decisions";
import type { GatewayBounds } from "../settings.ts";

/** Part of the fleet's resends that is used: others may count otherwise. */
const RETRY_PART = 0.6;

/** Takes a resend of the service; false when its budget is spent. */
export type ConsumeRetry = (service: string, now: number) => boolean;

/** One budget a service, by the bounds and the number of entries at each time. */
export function createRetryBudgets(
  bounds: () => GatewayBounds,
  entries: () => number,
): ConsumeRetry {
  const budgets = new Map<string, RetryBudget>();
  return (service, now) => {
    const options = optionsOf(bounds(), Math.max(1, entries()));
    const known = budgets.get(service);
    known?.configure(options, now);
    const budget = known ?? new RetryBudget(options);
    budgets.set(service, budget);
    return budget.tryTake(now);
  };
}

function optionsOf(bounds: GatewayBounds, entries: number): RetryBudgetOptions {
  const { retryRatio, retrySlack, retryWindowSeconds } = bounds;
  const largest = retrySlack * RETRY_PART / entries;
  return {
    retriesPerSuccess: retryRatio * RETRY_PART,
    refillPerSecond: largest / 2 / retryWindowSeconds,
    capacity: Math.max(2, largest / 2),
  };
}

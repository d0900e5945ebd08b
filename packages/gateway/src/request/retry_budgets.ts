/** This entry's part of the resends that a service allows. @module */
import { RetryBudget } from "@sycamorepulley/decisions";
import type { GatewayBounds } from "../settings.ts";

/** Part of the fleet's resends that is used: others may count otherwise. */
const RETRY_PART = 0.6;

/** One budget a service, made when it is first asked for or its bounds change. */
export function retryBudgets(
  bounds: () => GatewayBounds,
  entries: () => number,
): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>();
  let used = bounds();
  return (service) => {
    if (used !== bounds()) budgets.clear();
    used = bounds();
    const known = budgets.get(service);
    if (known !== undefined) return known;
    const budget = newBudget(used, Math.max(1, entries()));
    budgets.set(service, budget);
    return budget;
  };
}

function newBudget(bounds: GatewayBounds, entries: number): RetryBudget {
  const { retryRatio, retrySlack, retryWindowSeconds } = bounds;
  const largest = retrySlack * RETRY_PART / entries;
  return new RetryBudget({
    share: retryRatio * RETRY_PART,
    freePerSecond: largest / 2 / retryWindowSeconds,
    largest: Math.max(2, largest / 2),
  });
}

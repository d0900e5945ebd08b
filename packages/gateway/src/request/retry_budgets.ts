/** This entry's part of the resends that a service allows. @module */
import { RetryBudget } from "@sycamorepulley/decisions";
import type { GatewaySettings } from "../settings.ts";

/** Part of the fleet's resends that is used: others may count otherwise. */
const RETRY_PART = 0.6;

/** One budget a service, made when it is first asked for. */
export function retryBudgets(
  settings: GatewaySettings,
  entries: () => number,
): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>();
  return (service) => {
    const known = budgets.get(service);
    if (known !== undefined) return known;
    const budget = newBudget(settings, Math.max(1, entries()));
    budgets.set(service, budget);
    return budget;
  };
}

function newBudget(settings: GatewaySettings, entries: number): RetryBudget {
  const { retryRatio, retrySlack, retryWindowSeconds } = settings.bounds;
  const largest = retrySlack * RETRY_PART / entries;
  return new RetryBudget({
    share: retryRatio * RETRY_PART,
    freePerSecond: largest / 2 / retryWindowSeconds,
    largest: Math.max(2, largest / 2),
  });
}

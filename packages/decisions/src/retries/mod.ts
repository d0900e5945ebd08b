/** Limits and backoff of retried placements. @module */
export { backoff } from "./backoff.ts";
export { RetryBudget } from "./retry_budget.ts";
export type { RetryBudgetOptions } from "./retry_budget.ts";

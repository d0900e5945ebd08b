/** Limits of what a backend server runs at once. @module */
export { ConcurrencyLimit } from "./concurrency_limit.ts";
export type { Outcome } from "./concurrency_limit.ts";
export { CallLimit } from "./call_limit.ts";
export {
  BETWEEN_TOKENS_GOAL,
  FIRST_TOKEN_GOAL,
  TokenLimit,
} from "./token_limit.ts";
export type { TokenLimitOptions } from "./token_limit.ts";

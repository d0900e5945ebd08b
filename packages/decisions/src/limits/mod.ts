/** Adaptive concurrency limits of backend servers. @module */
export { ConcurrencyLimit } from "./concurrency_limit.ts";
export type { Outcome } from "./concurrency_limit.ts";
export { CallLimit } from "./call_limit.ts";
export {
  TIME_BETWEEN_TOKENS_GOAL,
  TIME_TO_FIRST_TOKEN_GOAL,
  TokenLimit,
} from "./token_limit.ts";
export type { TokenLimitOptions } from "./token_limit.ts";

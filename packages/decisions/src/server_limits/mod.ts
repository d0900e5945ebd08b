/** Rate limits that backend servers state for all entries together. @module */
export {
  allowedRate,
  allowedStartRate,
  StartRateLimiter,
  StatedRateLimiter,
} from "./server_rate_limiter.ts";
export type { ServerRateLimiter } from "./server_rate_limiter.ts";
export { isCold, StartLimit } from "./start_limit.ts";
export type { StartLimitScope } from "./start_limit.ts";
export { ServerLimits } from "./server_limits.ts";
export { parseServerLimit } from "./parse_server_limit.ts";
export type {
  LimitChange,
  LimitObservation,
  ServerLimit,
} from "./server_limits.ts";

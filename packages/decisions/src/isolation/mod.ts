/** What one service may hold, so that its trouble stays its own. @module */
export { WaitingRequestLimiter } from "./waiting_request_limiter.ts";
export type {
  Release,
  WaitingBounds,
  WaitingRefusal,
  WaitingRequest,
} from "./waiting_request_limiter.ts";

/** Isolates services from each other by limiting what each may use. @module */
export { WaitingRequestLimiter } from "./waiting_request_limiter.ts";
export type {
  Release,
  WaitingBounds,
  WaitingRefusal,
  WaitingRequest,
} from "./waiting_request_limiter.ts";

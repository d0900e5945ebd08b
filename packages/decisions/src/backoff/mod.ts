/** Backoffs that servers request of one entry. @module */
export { parseRetryAfter } from "./parse_retry_after.ts";
export { RequestedBackoffs } from "./requested_backoffs.ts";

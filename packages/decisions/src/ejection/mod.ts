/** Servers left out for failures and slowness. @module */
export { Ejection, LARGEST_EJECTED_SHARE } from "./ejection.ts";
export type { FailureReason } from "./server_record.ts";

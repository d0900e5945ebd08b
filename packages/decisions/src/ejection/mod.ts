/** Servers left out for failures and slowness. @module */
export { LARGEST_EJECTED_SHARE, OutlierEjection } from "./ejection.ts";
export type { FailureReason } from "./server_record.ts";

/** Exclusion of servers that fail or are slow. @module */
export { MAXIMUM_EJECTED_SHARE, OutlierEjection } from "./ejection.ts";
export type { ExclusionCause, ExclusionChange } from "./exclusion_change.ts";
export type { FailureReason } from "./server_health.ts";

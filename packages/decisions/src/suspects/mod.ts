/** Quarantine of requests that crash backend servers. @module */
export { CrashSuspects } from "./suspects.ts";
export type { SuspectVerdict } from "./suspects.ts";
export type { SuspectStatement } from "./fingerprint_status.ts";

/** Quarantine of requests that crash backend servers. @module */
export { CrashSuspects } from "./suspects.ts";
export type { ServerCrash, SuspectVerdict } from "./suspects.ts";
export { IsolatedRunRule, SoleSuspectRule } from "./quarantine_rule.ts";
export type { SuspectStatement } from "./fingerprint_status.ts";

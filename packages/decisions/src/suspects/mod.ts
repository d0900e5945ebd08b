/** Requests that may crash backend servers. @module */
export { CrashSuspects } from "./suspects.ts";
export type { SuspectVerdict } from "./suspects.ts";
export type { SuspectStatement } from "./suspicion.ts";

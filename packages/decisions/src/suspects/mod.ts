/** Quarantine of requests that crash backend servers. @module */
export { CrashSuspects } from "./suspects.ts";
export { ISOLATED_FROM } from "./part_causes.ts";
export type { CrashedRun, ServerCrash, SuspectVerdict } from "./suspects.ts";
export { IsolatedRunRule, SoleSuspectRule } from "./quarantine_rule.ts";
export { isPromptPart, PROMPT_PART_PREFIX } from "./prompt_part.ts";
export type { SuspectStatement } from "./fingerprint_status.ts";
export { supersedes } from "./fingerprint_status.ts";

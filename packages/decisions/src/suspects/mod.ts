/** Requests that may crash backend servers. @module */
export { Suspects } from "./suspects.ts";
export type { SuspectVerdict } from "./suspects.ts";
export type { SuspectStatement } from "./suspicion.ts";

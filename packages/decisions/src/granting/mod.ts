/** Reservations, grants and their redemption at the sidecar. @module */
export { GRANT_LAPSE, GrantDesk } from "./grant_desk.ts";
export type { Redemption } from "./grant_desk.ts";
export type { GrantDecision, RefusalCause } from "./grant_decision.ts";

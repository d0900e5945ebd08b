/**
 * Decisions under load, without access to network, clock or randomness.
 * @module
 */
export * from "./appointments/mod.ts";
export * from "./backoff/mod.ts";
export * from "./balance/mod.ts";
export * from "./connections/mod.ts";
export * from "./discovery/mod.ts";
export * from "./dispatch/mod.ts";
export * from "./ejection/mod.ts";
export * from "./estimates/mod.ts";
export * from "./fleet/mod.ts";
export * from "./granting/mod.ts";
export * from "./hedging/mod.ts";
export * from "./isolation/mod.ts";
export * from "./lifecycle/mod.ts";
export * from "./limits/mod.ts";
export * from "./memory/mod.ts";
export * from "./moves/mod.ts";
export * from "./placement/mod.ts";
export * from "./queueing/mod.ts";
export * from "./quotas/mod.ts";
export * from "./retries/mod.ts";
export * from "./rollouts/mod.ts";
export * from "./routing/mod.ts";
export * from "./server_limits/mod.ts";
export * from "./server_load/mod.ts";
export * from "./suspects/mod.ts";

/** Second runs of a request whose server is silent. @module */
export { HedgedRuns } from "./hedged_runs.ts";
export type {
  HedgeAction,
  HedgedRunsOptions,
  ServerReachability,
} from "./hedged_runs.ts";

/** Decides which requests leave their data centre. @module */
export type { DataCentrePlan, PlannedShare } from "./balance_plan.ts";
export type { BalancedRequest } from "./class_demand.ts";
export { DataCentreBalance } from "./data_centre_balance.ts";
export type {
  BalanceState,
  DataCentreState,
  UnservedRequest,
} from "./data_centre_balance.ts";
export { solveFlow } from "./flow_problem.ts";
export type { FlowPlan, FlowProblem, FlowSource } from "./flow_problem.ts";
export { TransferSize } from "./request_worth.ts";
export { ServerOffers } from "./server_offers.ts";
export { TransferCounts } from "./transfer_counts.ts";
export type { TransferCause, TransferCount } from "./transfer_counts.ts";

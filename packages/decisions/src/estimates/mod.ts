/** Estimates of cost, service time and drain rate. @module */
export { CostEstimator } from "./cost_estimator.ts";
export type { RequestShape } from "./cost_estimator.ts";
export { DrainRate } from "./drain_rate.ts";
export { ServiceTimeEstimator } from "./service_time_estimator.ts";
export type { ServedRequest } from "./service_time_estimator.ts";

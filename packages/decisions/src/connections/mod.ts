/** Bounds on the connections of callers. @module */
export { acceptQueueLength } from "./accept_queue.ts";
export {
  callerConnections,
  ConnectionLimit,
  connectionsIn,
} from "./connection_limit.ts";
export type { ProcessLimits } from "./connection_limit.ts";

/** Connections: bounds on those of callers, ends of those to servers. @module */
export { acceptQueueLength } from "./accept_queue.ts";
export {
  callerConnections,
  ConnectionLimit,
  connectionsIn,
} from "./connection_limit.ts";
export type { ProcessLimits } from "./connection_limit.ts";
export { judgeConnectionEnd } from "./connection_end.ts";
export type {
  ConnectionEnd,
  ConnectionEndVerdict,
  ResetDetection,
} from "./connection_end.ts";

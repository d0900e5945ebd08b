/** Bounds on the connections of callers. @module */
export { acceptQueueLength } from "./accept_queue.ts";

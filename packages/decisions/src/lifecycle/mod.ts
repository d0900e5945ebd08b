/** State machines of requests and processes. @module */
export { StreamDurationBound } from "./stream_duration_bound.ts";
export { ProcessLifecycle } from "./process_lifecycle.ts";
export type { ProcessEvent, ProcessState } from "./process_lifecycle.ts";
export { RequestLifecycle } from "./request_lifecycle.ts";
export type { RequestEvent, RequestState } from "./request_lifecycle.ts";
export { robot } from "./robot.ts";

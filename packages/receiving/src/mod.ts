/** Receives requests and responses: their bounds, and whether they are whole. @module */
export { BodyBuffer } from "./body_buffer.ts";
export { closeBeforeRest, readBody } from "./body_reader.ts";
export type { BodyError, BodyOptions } from "./body_reader.ts";
export { ByteBuffer } from "./byte_buffer.ts";
export {
  ConnectionState,
  ProcessWitness,
  WatchedResponse,
  WitnessConnection,
} from "./process_witness.ts";
export type { ProcessEvidence, ReadingPauses } from "./process_witness.ts";
export { HeadReader } from "./head_reader.ts";
export type { HeadOptions } from "./head_reader.ts";
export { headMemory, processMemory } from "./process_memory.ts";
export { RequestMemory } from "./request_memory.ts";
export type { HeldBody } from "./request_memory.ts";
export { ResetCheck } from "./reset_check.ts";
export type { ResetCheckResult } from "./reset_check.ts";
export { ResetDetectingSocket } from "./reset_detecting_socket.ts";
export { connectorWithResetErrors } from "./reset_error_socket.ts";

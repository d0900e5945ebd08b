/** Receives callers' requests within bounds. @module */
export { BodyBuffer } from "./body_buffer.ts";
export { closeBeforeRest, readBody } from "./body_reader.ts";
export type { BodyError, BodyOptions, BodyReservation } from "./body_reader.ts";
export { ByteBuffer } from "./byte_buffer.ts";

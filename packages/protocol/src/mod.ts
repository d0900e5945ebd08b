/** The protocol between processes: messages, frames and links. @module */
export * from "./messages.ts";
export { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers.ts";
export {
  encodeFrame,
  FRAME_HEADER_BYTES,
  FrameDecoder,
  MAXIMUM_FRAME_BYTES,
} from "./frame_codec.ts";
export type { MessageSchema } from "./frame_codec.ts";
export { acceptLink, openLink } from "./handshake.ts";
export type { EstablishedLink } from "./handshake.ts";
export { Link } from "./link.ts";
export type { LinkTraffic } from "./link.ts";
export { LinkError } from "./link_error.ts";
export type { LinkErrorReason, LinkStep } from "./link_error.ts";

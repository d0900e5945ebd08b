/** Error that ends a link between two processes. @module */

/** Steps at which a link can fail. */
export type LinkStep = "connect" | "hello" | "receive" | "decode" | "silence";

/** Reasons for which a link is closed; the owner of the link counts them. */
export type LinkErrorReason =
  | "unreachable"
  | "timeout"
  | "frame_too_large"
  | "malformed_frame"
  | "unknown_message"
  | "hello_expected"
  | "protocol_version"
  | "connection_lost";

/** Contains the step at which the link failed and the peer's address. */
export class LinkError extends Error {
  readonly step: LinkStep;
  readonly peer: string;
  readonly reason: LinkErrorReason;

  constructor(
    options: {
      step: LinkStep;
      peer: string;
      reason: LinkErrorReason;
      detail: string;
    },
  ) {
    const { step, peer, reason, detail } = options;
    super(`${step} with ${peer}: ${reason}: ${detail}`);
    this.name = "LinkError";
    this.step = step;
    this.peer = peer;
    this.reason = reason;
  }
}

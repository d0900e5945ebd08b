/** Why a link between two processes ended. @module */

/** Steps in a link's life at which it can fail. */
export type LinkStep = "connect" | "hello" | "receive" | "decode" | "silence";

/** Reasons a link is closed; each is counted by whoever owns the link. */
export type LinkErrorReason =
  | "unreachable"
  | "timeout"
  | "frame_too_large"
  | "malformed_frame"
  | "unknown_message"
  | "hello_expected"
  | "protocol_version"
  | "connection_lost";

/** Carries the step at which the link failed and the peer's address. */
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

/** Whether the end of a connection shows that a response is whole. @module */

/** How a connection ended: by an error, or as far as the kernel shows. */
export type ConnectionEnd =
  /** Code of the error, or its message. */
  | { error: string }
  | {
    /** Whether the kernel still has an address of the peer. */
    peer: "known" | "unknown";
    /**
     * What became of a write of no bytes: `pending` if it waits behind other
     * bytes, else the code of its error.
     */
    write: "accepted" | "pending" | (string & Record<never, never>);
  };

/** `unproven`: there is no evidence, or evidence that may be wrong. */
export type ConnectionEndVerdict = "regular" | "reset" | "unproven";

/** Whether a process has seen on its machine that a reset shows at the end. */
export type ResetDetection = "shown" | "not_shown" | "unknown";

/**
 * Judges the end of a connection. A reset is never reported as regular as long
 * as one of the facts shows it, and nothing is where resets are not known to
 * show.
 */
export function judgeConnectionEnd(
  end: ConnectionEnd | undefined,
  detection: ResetDetection,
): ConnectionEndVerdict {
  if (end === undefined) return "unproven";
  if ("error" in end || end.peer === "unknown") return "reset";
  const { write } = end;
  if (write !== "accepted" && write !== "pending") return "reset";
  return detection === "shown" ? "regular" : "unproven";
}

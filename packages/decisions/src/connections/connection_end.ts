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

/**
 * Judges the end of a connection. A reset is never reported as regular as long
 * as one of the facts shows it.
 */
export function judgeConnectionEnd(
  end: ConnectionEnd | undefined,
): ConnectionEndVerdict {
  if (end === undefined) return "unproven";
  if ("error" in end || end.peer === "unknown") return "reset";
  const { write } = end;
  return write === "accepted" || write === "pending" ? "regular" : "reset";
}

/** Changes to which servers are excluded, for logs. @module */

/** Why a server is excluded. */
export type ExclusionCause = "failures" | "crash" | "slowness";

/** A server is excluded, or may be sent requests as usual again. */
export type ExclusionChange =
  | {
    kind: "excluded";
    server: string;
    cause: ExclusionCause;
    /** Average of measured by expected time; absent before a response. */
    slowness: number | undefined;
    /** Median over all servers of the service. */
    median: number | undefined;
    /** Milliseconds until the first trial. */
    duration: number;
  }
  | { kind: "readmitted"; server: string };

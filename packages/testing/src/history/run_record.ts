/** Record of one request, as seen by the backend server that ran it. @module */

/** The fields of a server's history record that the checks need. */
export type RunRecord = {
  server: string;
  marker?: string | undefined;
  /** Milliseconds since 1970 by the server's clock. */
  startedAt: number;
  outcome: "running" | "finished" | "failed" | "cancelled";
};

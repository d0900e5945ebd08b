/** What a backend server saw of one request. @module */

/** The part of a server's history that the checks read. */
export type RunRecord = {
  server: string;
  marker?: string | undefined;
  /** Milliseconds of the server's clock. */
  startedAt: number;
  outcome: "running" | "finished" | "failed" | "cancelled";
};

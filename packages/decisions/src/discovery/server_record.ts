/** A backend server as it is registered in the store. @module */

/** One start of a backend server. */
export type ServerRecord = {
  /** Id of the server; a restarted server may use the same one. */
  id: string;
  /**
   * Start time in Unix milliseconds; distinguishes restarts with the same id.
   */
  startedAt: number;
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  /** Version of the server's software. */
  version: string;
  /** Maximum number of requests that it runs concurrently. */
  slots: number;
  /** Finishes its running requests and accepts no new ones. */
  draining: boolean;
};

/** Key that differs for every start, even with the same id or address. */
export function incarnationOf(record: ServerRecord): string {
  return `${record.id}@${record.startedAt}`;
}

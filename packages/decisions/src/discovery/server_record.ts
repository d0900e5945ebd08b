/** What a backend server says of itself in the store. @module */

/** One registered start of one backend server. */
export type ServerRecord = {
  /** Names the server; a restart may take the same one again. */
  id: string;
  /** Unix milliseconds of its start: tells restarts under one id apart. */
  startedAt: number;
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  /** Version of its software. */
  version: string;
  /** Requests that it runs at once. */
  slots: number;
  /** It finishes what runs and takes no new work. */
  draining: boolean;
};

/** Unlike for two starts, even under one id or at one address. */
export function incarnationOf(record: ServerRecord): string {
  return `${record.id}@${record.startedAt}`;
}

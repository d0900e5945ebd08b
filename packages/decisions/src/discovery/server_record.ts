/** A backend server as it is registered in the store. @module */
import type { StorePosition } from "./store_position.ts";

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
  /**
   * Time, of this entry's clock, until which the server is cold; absent if its
   * record does not say so.
   */
  coldUntil?: number | undefined;
};

/** What was written under a server's id; no record if it was removed. */
export type ServerState = {
  id: string;
  /** Where the store wrote the change; of two states the later one is newer. */
  position: StorePosition;
  record: ServerRecord | undefined;
};

/** A change of a server's availability, for logs. */
export type ServerChange = {
  server: string;
  /** `retained`: removed around an outage, and expected to register again. */
  change: "ready" | "draining" | "retained" | "gone";
} & StorePosition;

/** Address as `host:port`, which a server keeps when it starts again. */
export function addressOf({ host, port }: ServerRecord): string {
  return `${host}:${port}`;
}

/** The server that started last at each address. */
export function newestByAddress(
  records: Iterable<ServerRecord>,
): Map<string, ServerRecord> {
  const newest = new Map<string, ServerRecord>();
  for (const record of records) {
    const other = newest.get(addressOf(record));
    if (other === undefined || other.startedAt < record.startedAt) {
      newest.set(addressOf(record), record);
    }
  }
  return newest;
}

/** Key that differs for every start, even with the same id or address. */
export function incarnationOf(record: ServerRecord): string {
  return `${record.id}@${record.startedAt}`;
}

/** Start time of an incarnation in Unix milliseconds, of the server's clock. */
export function startTimeOf(incarnation: string): number {
  return Number(incarnation.slice(incarnation.lastIndexOf("@") + 1));
}

import type { ServerRecord, ServerState } from "../src/mod.ts";

/** Returns a record as it was written at `revision` of the store. */
export function written(revision: number, record: ServerRecord): ServerState {
  return { id: record.id, revision, record };
}

/** Returns the removal of a record at `revision` of the store. */
export function removed(revision: number, id: string): ServerState {
  return { id, revision, record: undefined };
}

/** Returns a backend server's record with the given changes. */
export function serverRecord(
  id: string,
  changes: Partial<ServerRecord> = {},
): ServerRecord {
  return {
    id,
    startedAt: 1,
    service: "assistant",
    host: "10.0.0.1",
    port: 80,
    dataCentre: "a",
    version: "v1",
    slots: 2,
    draining: false,
    ...changes,
  };
}

import type { ServerRecord, ServerState, StorePosition } from "../src/mod.ts";

/** A position in the store's history, by default in its first era. */
export function at(revision: number, era = 1): StorePosition {
  return { era, revision };
}

/** Returns a record as it was written at `revision` of the store. */
export function written(
  revision: number,
  record: ServerRecord,
  era = 1,
): ServerState {
  return { id: record.id, position: at(revision, era), record };
}

/** Returns the removal of a record at `revision` of the store. */
export function removed(revision: number, id: string, era = 1): ServerState {
  return { id, position: at(revision, era), record: undefined };
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

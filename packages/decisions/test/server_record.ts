import type { ServerRecord } from "../src/mod.ts";

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

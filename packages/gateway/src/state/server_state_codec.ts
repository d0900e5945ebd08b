/**
 * Converts backend servers between their stored form, which has durations, and
 * the records of this entry, which have times of its clock.
 * @module
 */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { StoredServer } from "./record_codec.ts";

/** `now` is the time at which the record was received. */
export function serverRecordOf(
  { coldFor, ...record }: StoredServer,
  now: number,
): ServerRecord {
  return coldFor === undefined || coldFor <= 0
    ? record
    : { ...record, coldUntil: now + coldFor };
}

export function storedServerOf(
  { coldUntil, ...record }: ServerRecord,
  now: number,
): StoredServer {
  return coldUntil === undefined || coldUntil <= now
    ? record
    : { ...record, coldFor: coldUntil - now };
}

/**
 * The encoding of a move's record in the key-value service and in messages
 * between peers. Its revision increases with every write, so that an older copy
 * from a peer never replaces a newer record.
 * @module
 */
import * as v from "valibot";
import { moveRecordSchema } from "@sycamorepulley/decisions";
import type { MoveRecord } from "@sycamorepulley/decisions";
import type { Move } from "@sycamorepulley/configuration";

const storedMoveSchema = v.object({
  revision: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
  record: moveRecordSchema,
});
/** A move's record and its revision. */
export type StoredMove = v.InferOutput<typeof storedMoveSchema>;

/** Returns the key of a move's record. */
export function moveKey(move: string): string {
  return `moves/${move}`;
}

/** Returns the key that a move's driver holds under its lease. */
export function driverKey(move: string): string {
  return `moves/${move}/driver`;
}

export function encodeStoredMove(stored: StoredMove): string {
  return JSON.stringify(stored);
}

/** Returns `undefined` if this release can't read the record. */
export function decodeStoredMove(text: string): StoredMove | undefined {
  try {
    const parsed = v.safeParse(storedMoveSchema, JSON.parse(text));
    return parsed.success ? parsed.output : undefined;
  } catch {
    return undefined;
  }
}

/** Creates the record of a move that no process has driven yet. */
export function initialRecord(move: Move, now: number): MoveRecord {
  return {
    move: move.name,
    service: move.service,
    from: move.from,
    to: move.to,
    deadline: Date.parse(move.deadline),
    trialShare: move.trialShare,
    trialRequests: move.trialRequests,
    phase: "pending",
    share: 0,
    step: 0,
    since: now,
    fencing: 0,
    endedBefore: 0,
    evidence: [],
  };
}

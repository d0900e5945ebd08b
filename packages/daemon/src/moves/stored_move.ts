/**
 * A move's record as the key-value service and peers hold it. Its revision
 * grows with every write, so that a copy heard from a peer is never older
 * than the one in force.
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
/** A record and its revision. */
export type StoredMove = v.InferOutput<typeof storedMoveSchema>;

/** Where the record of a move is kept. */
export function moveKey(move: string): string {
  return `moves/${move}`;
}

/** Where the driver of a move states its lease. */
export function driverKey(move: string): string {
  return `moves/${move}/driver`;
}

export function encodeStoredMove(stored: StoredMove): string {
  return JSON.stringify(stored);
}

/** Undefined when the text is no record that this release understands. */
export function decodeStoredMove(text: string): StoredMove | undefined {
  try {
    const parsed = v.safeParse(storedMoveSchema, JSON.parse(text));
    return parsed.success ? parsed.output : undefined;
  } catch {
    return undefined;
  }
}

/** The record of a move that nobody has driven yet. */
export function firstRecord(move: Move, now: number): MoveRecord {
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

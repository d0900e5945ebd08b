/**
 * The record of a move in the platform's key-value service. Only the move's
 * driver writes it, each time by compare-and-swap with a fencing number.
 * @module
 */
import * as v from "valibot";

const count = v.pipe(v.number(), v.minValue(0));
const countsSchema = v.object({ ended: count, failed: count, slow: count });

/** Phases of a move; the last two are final. */
export const movePhaseSchema = v.picklist([
  "pending",
  "trial",
  "raising",
  "complete",
  "takenBack",
]);
export type MovePhase = v.InferOutput<typeof movePhaseSchema>;

/** Reasons for taking a move back. */
export const takenBackReasonSchema = v.picklist([
  "failures",
  "slowness",
  "deadline",
  "no_room",
  "no_evidence",
]);
export type TakenBackReason = v.InferOutput<typeof takenBackReasonSchema>;

/** Times are in milliseconds since the Unix epoch. */
export const moveRecordSchema = v.object({
  move: v.string(),
  service: v.string(),
  from: v.string(),
  to: v.string(),
  deadline: v.number(),
  trialShare: v.number(),
  trialRequests: count,
  phase: movePhaseSchema,
  /** Share, 0 to 1, of the service's requests sent to the new version. */
  share: v.number(),
  /** Index of the step within its phase. */
  step: count,
  /** Start time of the step. */
  since: v.number(),
  /** Increases with each new driver; backend servers reject a lower one. */
  fencing: count,
  /** Ended calls of the new version at the start of the step. */
  endedBefore: count,
  reason: v.optional(takenBackReasonSchema),
  evidence: v.optional(
    v.array(
      v.object({ route: v.string(), from: countsSchema, to: countsSchema }),
    ),
    [],
  ),
});
export type MoveRecord = v.InferOutput<typeof moveRecordSchema>;

/**
 * What a granting entry knows of a roll-out that runs, for its successor.
 *
 * The evidence against the target, the times that are usual for the established
 * version and what the target got are known to the granting entry alone, and
 * would be lost with it.
 * @module
 */
import * as v from "valibot";
import { moveJudgeStateSchema, slowThresholdsSchema } from "../moves/mod.ts";

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const duration = v.pipe(v.number(), v.finite(), v.minValue(0));

export const rolloutHandoverSchema = v.object({
  service: v.string(),
  target: v.string(),
  /** Where the store wrote the order; a restored store keeps it. */
  revision: count,
  /** Milliseconds since this was so. */
  age: duration,
  /** Milliseconds for which the runs were observed. */
  observedFor: duration,
  /** Evidence of an earlier part of the roll-out was lost. */
  isEvidencePartial: v.boolean(),
  /** Index of the step, and the share that the target got. */
  step: count,
  share: v.number(),
  /** Grants of the target, and of the service. */
  granted: v.number(),
  total: v.number(),
  /** The target may use the slack. */
  hasSlack: v.boolean(),
  judge: moveJudgeStateSchema,
  thresholds: slowThresholdsSchema,
});
export type RolloutHandover = v.InferOutput<typeof rolloutHandoverSchema>;

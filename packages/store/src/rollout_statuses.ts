/**
 * Response to `GET /rollouts` on the HTTP port that each gateway has for
 * operators. Durations are in milliseconds.
 * @module
 */
import * as v from "valibot";

const count = v.pipe(v.number(), v.minValue(0));

/** Runs of one version on one route that ended. */
const runCountsSchema = v.object({
  ended: count,
  failed: count,
  /** Slower than most runs of the other versions. */
  slow: count,
});

/** Runs of the old version (`from`) and of the target (`to`) on one route. */
export const routeEvidenceSchema = v.object({
  route: v.string(),
  from: runCountsSchema,
  to: runCountsSchema,
});

/** Progress of the roll-out of one service, as one gateway knows it. */
export const rolloutProgressSchema = v.object({
  service: v.string(),
  target: v.string(),
  state: v.picklist([
    "pending",
    "running",
    "completing",
    "succeeded",
    "rolled_back",
  ]),
  /** The store is known to hold the state. */
  stored: v.boolean(),
  /** Since the order. */
  age: count,
  /** From the order to its time limit. */
  duration: count,
  /** What the granting entry concludes; absent in all other gateways. */
  conclusion: v.optional(v.object({
    /** Share of the requests, 0 to 1, that the target may get. */
    share: v.number(),
    /** Why the roll-out advanced, waits or ended. */
    reason: v.string(),
    evidence: v.array(routeEvidenceSchema),
  })),
});
/** Progress of a roll-out; fields as in {@link rolloutProgressSchema}. */
export type RolloutProgressStatus = v.InferOutput<typeof rolloutProgressSchema>;

/** The whole response. */
export const rolloutStatusesSchema = v.object({
  instance: v.string(),
  rollouts: v.array(rolloutProgressSchema),
});
/** The whole response; fields as in {@link rolloutStatusesSchema}. */
export type RolloutStatuses = v.InferOutput<typeof rolloutStatusesSchema>;

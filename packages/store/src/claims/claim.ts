/** The stored claim of a non-idempotent request. @module */
import * as v from "valibot";
import { storedResponseSchema } from "./recorded_response.ts";

/**
 * Maximum difference that is assumed between the clocks of two processes, in
 * milliseconds. It only decides whether a retry gets "running" or "unknown";
 * whether the request may run does not depend on any clock.
 */
export const MAX_CLOCK_DIFFERENCE = 60_000;

/** A claim is never taken over: later claims of the same key get its state. */
export const claimSchema = v.object({
  /** Hash of the request; distinguishes a retry from another request. */
  fingerprint: v.string(),
  /** Unique to one attempt of one process. */
  claimant: v.string(),
  /** Milliseconds since 1970 by which the claimant records an outcome. */
  runsUntil: v.number(),
  /** Absent while the request runs. */
  outcome: v.optional(v.union([storedResponseSchema, v.literal("unknown")])),
});
/** A claim; fields as in {@link claimSchema}. */
export type Claim = v.InferOutput<typeof claimSchema>;

/** Claims by identity, as stored. */
export const claimsSchema = v.record(v.string(), claimSchema);
/** Claims by identity. */
export type Claims = ReadonlyMap<string, Claim>;

/** Whether the claimant has recorded an outcome, or won't do so after `now`. */
export function isSettled(claim: Claim, now: number): boolean {
  return claim.outcome !== undefined ||
    now > claim.runsUntil + MAX_CLOCK_DIFFERENCE;
}

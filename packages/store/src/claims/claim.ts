/** A non-idempotent request's claim as the service keeps it. @module */
import * as v from "valibot";
import { storedOutcomeSchema } from "./recorded_response.ts";

/**
 * Clocks of two processes are taken to agree within this bound (milliseconds).
 * It decides only whether a resend is told "running" or "unknown"; whether the
 * request may run depends on no clock.
 */
export const CLOCK_BOUND = 60_000;

/** A claim is never taken over: whoever comes later is told what became of it. */
export const claimSchema = v.object({
  /** Hash of the request, to tell a resend from another request. */
  fingerprint: v.string(),
  /** Unique to one attempt of one process. */
  claimant: v.string(),
  /** Milliseconds since 1970 by which the claimant has recorded an outcome. */
  runsUntil: v.number(),
  /** Absent while it runs. */
  outcome: v.optional(v.union([storedOutcomeSchema, v.literal("unknown")])),
});
/** See {@link claimSchema}. */
export type Claim = v.InferOutput<typeof claimSchema>;

/** Claims by identity, as stored. */
export const claimsSchema = v.record(v.string(), claimSchema);
/** Claims by identity. */
export type Claims = ReadonlyMap<string, Claim>;

/** Whether nothing more is to be expected of the claimant at `now`. */
export function isSettled(claim: Claim, now: number): boolean {
  return claim.outcome !== undefined || now > claim.runsUntil + CLOCK_BOUND;
}

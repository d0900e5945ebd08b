/** Result of claiming a non-idempotent request's idempotency key. @module */
import type { RecordedResponse } from "./recorded_response.ts";

/** Held by the process that may dispatch the request, once. */
export type HeldClaim = {
  service: string;
  identity: string;
  claimant: string;
};

/**
 * - `claimed`: dispatch the request, then record its outcome or release the
 *   claim.
 * - `done`: the request ran; respond with the recorded response.
 * - `running`: the request is running, or its claimant crashed recently; retry
 *   later.
 * - `unknown`: the request may have run, and its outcome will never be known.
 * - `reused`: the key belongs to a request with another fingerprint.
 */
export type ClaimResult =
  | { kind: "claimed"; claim: HeldClaim }
  | { kind: "done"; outcome: RecordedResponse }
  | { kind: "running" }
  | { kind: "unknown" }
  | { kind: "reused" };

/** What a process may do with a non-idempotent request. @module */
import type { RecordedResponse } from "./recorded_response.ts";

/** Held by the process that may dispatch the request, once. */
export type HeldClaim = {
  service: string;
  identity: string;
  claimant: string;
};

/**
 * - `claimed`: dispatch it, then record or release.
 * - `done`: it ran; answer with the outcome.
 * - `running`: it runs, or its claimant died lately; come back.
 * - `unknown`: it may have run, and nobody will learn more.
 * - `reused`: the key belongs to a request with another fingerprint.
 */
export type ClaimAnswer =
  | { kind: "claimed"; claim: HeldClaim }
  | { kind: "done"; outcome: RecordedResponse }
  | { kind: "running" }
  | { kind: "unknown" }
  | { kind: "reused" };

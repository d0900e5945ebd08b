/** Changes of a shard that wait to be committed together. @module */
import type { StoredOutcome } from "./recorded_response.ts";

/** Asks for the right to run. */
export type ClaimOperation = {
  type: "claim";
  service: string;
  identity: string;
  claimant: string;
  fingerprint: string;
  runsUntil: number;
  /** Milliseconds since 1970. */
  now: number;
};

/** Keeps the outcome for resends. */
export type RecordOperation = {
  type: "record";
  identity: string;
  claimant: string;
  outcome: StoredOutcome | "unknown";
};

/**
 * Frees a key whose request certainly did not run. It writes even when the claim
 * is not there: a claim whose write got no answer may still be under way, and
 * only a newer revision keeps it from landing later.
 */
export type ReleaseOperation = {
  type: "release";
  identity: string;
  claimant: string;
};

/** Any of them. */
export type Operation = ClaimOperation | RecordOperation | ReleaseOperation;

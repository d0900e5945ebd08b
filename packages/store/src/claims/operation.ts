/** Operations on a shard, which are committed in batches. @module */
import type { StoredResponse } from "./recorded_response.ts";

/** Claims the key of a request, to be allowed to run it. */
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

/** Stores the outcome of a request for retries. */
export type RecordOperation = {
  type: "record";
  identity: string;
  claimant: string;
  outcome: StoredResponse | "unknown";
};

/**
 * Releases a key whose request certainly did not run. It is written even if the
 * claim is not stored: a claim whose write got no response may still be in
 * transit, and only a newer revision prevents it from taking effect later.
 */
export type ReleaseOperation = {
  type: "release";
  identity: string;
  claimant: string;
};

/** Any operation on a shard. */
export type Operation = ClaimOperation | RecordOperation | ReleaseOperation;

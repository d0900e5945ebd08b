/** Applies a batch of operations to a shard. Pure functions. @module */
import { isSettled } from "./claim.ts";
import type { Claim, Claims } from "./claim.ts";
import type { ClaimResult } from "./claim_result.ts";
import type { ShardHead } from "./shard_head.ts";
import type {
  ClaimOperation,
  Operation,
  RecordOperation,
  ReleaseOperation,
} from "./operation.ts";
import { fromStoredResponse } from "./recorded_response.ts";

/** The shard after the batch, and the results of the batch's claims. */
export type AppliedBatch = {
  head: ShardHead;
  /** Whether the head has to be written. */
  changed: boolean;
  results: Map<Operation, ClaimResult>;
};

/** Applies the operations in order; `sealed` are claims found in segments. */
export function applyOperations(
  head: ShardHead,
  operations: readonly Operation[],
  sealed: Claims,
): AppliedBatch {
  const claims = new Map(head.claims);
  const results = new Map<Operation, ClaimResult>();
  let changed = false;
  for (const operation of operations) {
    switch (operation.type) {
      case "claim": {
        const existing = claims.get(operation.identity) ??
          sealed.get(operation.identity);
        if (existing === undefined) {
          claims.set(operation.identity, newClaim(operation));
          changed = true;
        }
        results.set(operation, resultOf(operation, existing));
        break;
      }
      case "record":
        changed = applyRecord(claims, operation) || changed;
        break;
      case "release":
        applyRelease(claims, operation);
        changed = true;
        break;
    }
  }
  return { head: { ...head, claims }, changed, results };
}

function newClaim(operation: ClaimOperation): Claim {
  const { fingerprint, claimant, runsUntil } = operation;
  return { fingerprint, claimant, runsUntil };
}

/** If the claim found is the own one, an earlier write's response was lost. */
function resultOf(
  operation: ClaimOperation,
  existing: Claim | undefined,
): ClaimResult {
  const { service, identity, claimant, fingerprint, now } = operation;
  const own = existing?.claimant === claimant && existing.outcome === undefined;
  if (existing === undefined || own) {
    return { kind: "claimed", claim: { service, identity, claimant } };
  }
  if (existing.fingerprint !== fingerprint) {
    return { kind: "reused" };
  }
  if (existing.outcome !== undefined && existing.outcome !== "unknown") {
    return { kind: "done", outcome: fromStoredResponse(existing.outcome) };
  }
  return { kind: isSettled(existing, now) ? "unknown" : "running" };
}

function applyRecord(
  claims: Map<string, Claim>,
  operation: RecordOperation,
): boolean {
  const existing = claims.get(operation.identity);
  if (
    existing === undefined || existing.claimant !== operation.claimant ||
    existing.outcome !== undefined
  ) {
    return false;
  }
  claims.set(operation.identity, { ...existing, outcome: operation.outcome });
  return true;
}

function applyRelease(
  claims: Map<string, Claim>,
  operation: ReleaseOperation,
): void {
  const existing = claims.get(operation.identity);
  if (
    existing?.claimant === operation.claimant && existing.outcome === undefined
  ) {
    claims.delete(operation.identity);
  }
}

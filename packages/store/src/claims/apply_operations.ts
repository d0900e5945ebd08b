/** What a batch of operations makes of a shard. Pure. @module */
import { isSettled } from "./claim.ts";
import type { Claim, Claims } from "./claim.ts";
import type { ClaimAnswer } from "./claim_answer.ts";
import type { Head } from "./head.ts";
import type {
  ClaimOperation,
  Operation,
  RecordOperation,
  ReleaseOperation,
} from "./operation.ts";
import { loadOutcome } from "./recorded_response.ts";

/** The shard after the batch. `answers` are those of the claims in it. */
export type Applied = {
  head: Head;
  /** Whether anything is to be written. */
  changed: boolean;
  answers: Map<Operation, ClaimAnswer>;
};

/** Applies the operations in order; `sealed` are claims found in segments. */
export function applyOperations(
  head: Head,
  operations: readonly Operation[],
  sealed: Claims,
): Applied {
  const claims = new Map(head.claims);
  const answers = new Map<Operation, ClaimAnswer>();
  let changed = false;
  for (const operation of operations) {
    switch (operation.type) {
      case "claim": {
        const known = claims.get(operation.identity) ??
          sealed.get(operation.identity);
        if (known === undefined) {
          claims.set(operation.identity, newClaim(operation));
          changed = true;
        }
        answers.set(operation, answerOf(operation, known));
        break;
      }
      case "record":
        changed = record(claims, operation) || changed;
        break;
      case "release":
        release(claims, operation);
        changed = true;
        break;
    }
  }
  return { head: { ...head, claims }, changed, answers };
}

function newClaim(operation: ClaimOperation): Claim {
  const { fingerprint, claimant, runsUntil } = operation;
  return { fingerprint, claimant, runsUntil };
}

/** An own claim found there means that an earlier write's answer was lost. */
function answerOf(
  operation: ClaimOperation,
  known: Claim | undefined,
): ClaimAnswer {
  const { service, identity, claimant, fingerprint, now } = operation;
  const own = known?.claimant === claimant && known.outcome === undefined;
  if (known === undefined || own) {
    return { kind: "claimed", claim: { service, identity, claimant } };
  }
  if (known.fingerprint !== fingerprint) {
    return { kind: "reused" };
  }
  if (known.outcome !== undefined && known.outcome !== "unknown") {
    return { kind: "done", outcome: loadOutcome(known.outcome) };
  }
  return { kind: isSettled(known, now) ? "unknown" : "running" };
}

function record(
  claims: Map<string, Claim>,
  operation: RecordOperation,
): boolean {
  const held = claims.get(operation.identity);
  if (
    held === undefined || held.claimant !== operation.claimant ||
    held.outcome !== undefined
  ) {
    return false;
  }
  claims.set(operation.identity, { ...held, outcome: operation.outcome });
  return true;
}

function release(
  claims: Map<string, Claim>,
  operation: ReleaseOperation,
): void {
  const held = claims.get(operation.identity);
  if (
    held?.claimant === operation.claimant && held.outcome === undefined
  ) {
    claims.delete(operation.identity);
  }
}

/** Looks for claims that were sealed. @module */
import { Result } from "true-myth/result";
import type { KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { Claim } from "./claim.ts";
import { decodeSegment, mayHold } from "./head.ts";
import type { Claims, Head } from "./head.ts";
import type { Operation } from "./operation.ts";

/**
 * Claims of the operations that the head's segments hold. A new key matches no
 * prefix and costs no read. A segment that is gone has lapsed, and its claims
 * with it; one that can't be read fails the batch, since its key may have run.
 */
export async function findSealed(
  store: KeyValueStore,
  head: Head,
  operations: readonly Operation[],
): Promise<Result<Claims, PlatformError>> {
  const found = new Map<string, Claim>();
  for (const [segment, identities] of suspects(head, operations)) {
    const entry = await store.get(segment);
    if (entry.isErr) {
      return Result.err(entry.error);
    }
    if (entry.value === undefined) {
      continue;
    }
    const claims = decodeSegment(entry.value.value);
    if (claims === undefined) {
      return Result.err(malformed(segment));
    }
    for (const identity of identities) {
      const claim = claims.get(identity);
      if (claim !== undefined) {
        found.set(identity, claim);
      }
    }
  }
  return Result.ok(found);
}

/** Segments to read, each with the identities that it may hold. */
function suspects(
  head: Head,
  operations: readonly Operation[],
): Map<string, string[]> {
  const segments = new Map<string, string[]>();
  for (const { type, identity } of operations) {
    if (type !== "claim" || head.claims.has(identity)) {
      continue;
    }
    for (const reference of head.sealed) {
      if (mayHold(reference, identity)) {
        const identities = segments.get(reference.segment) ?? [];
        segments.set(reference.segment, [...identities, identity]);
      }
    }
  }
  return segments;
}

function malformed(segment: string): PlatformError {
  return {
    step: "find sealed claims",
    peer: segment,
    reason: "malformed",
    applied: "no",
    detail: "the segment holds no claims",
  };
}

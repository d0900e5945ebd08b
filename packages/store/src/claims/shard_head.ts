/**
 * The head of a shard: its newest claims, and the key of the index of the older
 * ones, which are sealed in segments. It is written with each batch and stays
 * small.
 * @module
 */
import * as v from "valibot";
import { claimsSchema } from "./claim.ts";
import type { Claims } from "./claim.ts";
import { parseValue } from "./parse_value.ts";

const headSchema = v.object({
  claims: claimsSchema,
  index: v.optional(v.string()),
});

/** A decoded head; `index` is a key, absent without sealed claims. */
export type ShardHead = { claims: Claims; index: string | undefined };

/** Head of a shard without claims. */
export const EMPTY_HEAD: ShardHead = { claims: new Map(), index: undefined };

/**
 * Returns `head`, as a restored service holds it, with the claims and outcomes
 * of `known` that it has lost; the same object if it has lost none. A claim that
 * was released or sealed since `known` comes back: its key then runs once less,
 * never twice.
 */
export function mergeLostClaims(head: ShardHead, known: ShardHead): ShardHead {
  const claims = new Map(head.claims);
  let changed = false;
  for (const [identity, claim] of known.claims) {
    const stored = claims.get(identity);
    const hasLostOutcome = stored?.claimant === claim.claimant &&
      stored.outcome === undefined && claim.outcome !== undefined;
    if (stored !== undefined && !hasLostOutcome) continue;
    claims.set(identity, claim);
    changed = true;
  }
  return changed ? { ...head, claims } : head;
}

/** Returns the value to store. */
export function encodeHead(head: ShardHead): string {
  const claims = Object.fromEntries(head.claims);
  return JSON.stringify({ claims, index: head.index });
}

/** Returns `undefined` if the value is not a head. */
export function decodeHead(value: string): ShardHead | undefined {
  const parsed = parseValue(headSchema, value);
  return parsed && {
    claims: new Map(Object.entries(parsed.claims)),
    index: parsed.index,
  };
}

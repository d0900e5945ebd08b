/**
 * The value of a shard: its newest claims, and references to sealed segments
 * that hold the older ones.
 * @module
 */
import * as v from "valibot";
import { claimSchema } from "./claim.ts";
import type { Claim } from "./claim.ts";
import { PREFIX_BYTES, prefixOf } from "./claim_identity.ts";

const claimsSchema = v.record(v.string(), claimSchema);
const headSchema = v.object({
  claims: claimsSchema,
  sealed: v.array(v.object({ segment: v.string(), prefixes: v.string() })),
});
const segmentSchema = v.object({ claims: claimsSchema });

/** Claims by identity. */
export type Claims = ReadonlyMap<string, Claim>;

/** An immutable segment; `prefixes` says which identities it may hold. */
export type SealedReference = { segment: string; prefixes: Buffer };

/** See the module. */
export type Head = { claims: Claims; sealed: readonly SealedReference[] };

/** A shard before its first claim. */
export const EMPTY_HEAD: Head = { claims: new Map(), sealed: [] };

/** The value to store. */
export function encodeHead(head: Head): string {
  return JSON.stringify({
    claims: Object.fromEntries(head.claims),
    sealed: head.sealed.map(({ segment, prefixes }) => ({
      segment,
      prefixes: prefixes.toString("base64"),
    })),
  });
}

/** `undefined` when the value is of another kind. */
export function decodeHead(value: string): Head | undefined {
  const parsed = parse(headSchema, value);
  return parsed && {
    claims: new Map(Object.entries(parsed.claims)),
    sealed: parsed.sealed.map(({ segment, prefixes }) => ({
      segment,
      prefixes: Buffer.from(prefixes, "base64"),
    })),
  };
}

/** The value of a segment. */
export function encodeSegment(claims: Claims): string {
  return JSON.stringify({ claims: Object.fromEntries(claims) });
}

/** `undefined` when the value is of another kind. */
export function decodeSegment(value: string): Claims | undefined {
  const parsed = parse(segmentSchema, value);
  return parsed && new Map(Object.entries(parsed.claims));
}

/** Prefixes of the identities, one after the other. */
export function prefixesOf(claims: Claims): Buffer {
  return Buffer.concat([...claims.keys()].map(prefixOf));
}

/** Whether the segment may hold the claim; one in 16 million is a false yes. */
export function mayHold(reference: SealedReference, identity: string): boolean {
  const { prefixes } = reference;
  const prefix = prefixOf(identity);
  for (let start = 0; start < prefixes.length; start += PREFIX_BYTES) {
    if (prefix.equals(prefixes.subarray(start, start + PREFIX_BYTES))) {
      return true;
    }
  }
  return false;
}

function parse<Schema extends v.GenericSchema>(
  schema: Schema,
  value: string,
): v.InferOutput<Schema> | undefined {
  try {
    return v.parse(schema, JSON.parse(value));
  } catch {
    return undefined;
  }
}

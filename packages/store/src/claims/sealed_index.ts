/**
 * Says which segment may hold a sealed claim. An index is written once, whenever
 * a segment is sealed, and names all segments that are kept.
 * @module
 */
import * as v from "valibot";
import type { Claims } from "./claim.ts";
import { PREFIX_BYTES, prefixOf } from "./claim_identity.ts";
import { parseValue } from "./parse_value.ts";

const indexSchema = v.object({
  sealed: v.array(v.object({ segment: v.string(), prefixes: v.string() })),
});

/** A segment, and the prefixes of its identities in order, end to end. */
export type SealedReference = { segment: string; prefixes: Buffer };

/** Oldest segment first. */
export type SealedIndex = readonly SealedReference[];

/** The value of an index. */
export function encodeIndex(index: SealedIndex): string {
  return JSON.stringify({
    sealed: index.map(({ segment, prefixes }) => ({
      segment,
      prefixes: prefixes.toString("base64"),
    })),
  });
}

/** `undefined` when the value is of another kind. */
export function decodeIndex(value: string): SealedIndex | undefined {
  return parseValue(indexSchema, value)?.sealed
    .map(({ segment, prefixes }) => ({
      segment,
      prefixes: Buffer.from(prefixes, "base64"),
    }));
}

/** The reference to a segment with these claims. */
export function referenceTo(segment: string, claims: Claims): SealedReference {
  const prefixes = [...claims.keys()].map(prefixOf);
  prefixes.sort((one, other) => Buffer.compare(one, other));
  return { segment, prefixes: Buffer.concat(prefixes) };
}

/** Whether the segment may hold the claim; one in 16 million is a false yes. */
export function mayHold(reference: SealedReference, identity: string): boolean {
  const { prefixes } = reference;
  const wanted = prefixOf(identity).readUIntBE(0, PREFIX_BYTES);
  let low = 0;
  let high = prefixes.length / PREFIX_BYTES;
  while (low < high) {
    const middle = (low + high) >> 1;
    const found = prefixes.readUIntBE(middle * PREFIX_BYTES, PREFIX_BYTES);
    if (found === wanted) {
      return true;
    }
    if (found < wanted) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return false;
}

/**
 * Index of a shard's sealed claims: tells which segments may contain a claim. A
 * new index is written whenever a segment is sealed; it lists all segments that
 * are kept and never changes.
 * @module
 */
import * as v from "valibot";
import type { Claims } from "./claim.ts";
import { PREFIX_BYTES, prefixOf } from "./claim_identity.ts";
import { parseValue } from "./parse_value.ts";

const indexSchema = v.object({
  sealed: v.array(v.object({ segment: v.string(), prefixes: v.string() })),
});

/** A segment and the concatenated, sorted prefixes of its identities. */
export type SegmentReference = { segment: string; prefixes: Buffer };

/** Oldest segment first. */
export type SealedIndex = readonly SegmentReference[];

/** Returns the value to store. */
export function encodeIndex(index: SealedIndex): string {
  return JSON.stringify({
    sealed: index.map(({ segment, prefixes }) => ({
      segment,
      prefixes: prefixes.toString("base64"),
    })),
  });
}

/** Returns `undefined` if the value is not an index. */
export function decodeIndex(value: string): SealedIndex | undefined {
  return parseValue(indexSchema, value)?.sealed
    .map(({ segment, prefixes }) => ({
      segment,
      prefixes: Buffer.from(prefixes, "base64"),
    }));
}

/** Returns the reference to a segment with these claims. */
export function createReference(
  segment: string,
  claims: Claims,
): SegmentReference {
  const prefixes = [...claims.keys()].map(prefixOf);
  prefixes.sort((one, other) => Buffer.compare(one, other));
  return { segment, prefixes: Buffer.concat(prefixes) };
}

/**
 * Whether the segment may contain the claim. Of identities that it does not
 * contain, one in 16 million matches a given prefix.
 */
export function mayContain(
  reference: SegmentReference,
  identity: string,
): boolean {
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

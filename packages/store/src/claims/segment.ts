/** Segments: settled claims of a shard in immutable values. @module */
import * as v from "valibot";
import { claimsSchema } from "./claim.ts";
import type { Claims } from "./claim.ts";
import { parseValue } from "./parse_value.ts";

const segmentSchema = v.object({ claims: claimsSchema });

/** Returns the value to store. */
export function encodeSegment(claims: Claims): string {
  return JSON.stringify({ claims: Object.fromEntries(claims) });
}

/** Returns `undefined` if the value is not a segment. */
export function decodeSegment(value: string): Claims | undefined {
  const parsed = parseValue(segmentSchema, value);
  return parsed && new Map(Object.entries(parsed.claims));
}

/** Settled claims, written once. @module */
import * as v from "valibot";
import { claimsSchema } from "./claim.ts";
import type { Claims } from "./claim.ts";
import { parseValue } from "./parse_value.ts";

const segmentSchema = v.object({ claims: claimsSchema });

/** The value of a segment. */
export function encodeSegment(claims: Claims): string {
  return JSON.stringify({ claims: Object.fromEntries(claims) });
}

/** `undefined` when the value is of another kind. */
export function decodeSegment(value: string): Claims | undefined {
  const parsed = parseValue(segmentSchema, value);
  return parsed && new Map(Object.entries(parsed.claims));
}

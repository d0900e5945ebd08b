/**
 * The value of a shard: its newest claims, and the name of the index of the
 * older ones, which are sealed. It is written with each batch and stays small.
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

/** See the module. */
export type Head = { claims: Claims; index: string | undefined };

/** A shard before its first claim. */
export const EMPTY_HEAD: Head = { claims: new Map(), index: undefined };

/** The value to store. */
export function encodeHead(head: Head): string {
  const claims = Object.fromEntries(head.claims);
  return JSON.stringify({ claims, index: head.index });
}

/** `undefined` when the value is of another kind. */
export function decodeHead(value: string): Head | undefined {
  const parsed = parseValue(headSchema, value);
  return parsed && {
    claims: new Map(Object.entries(parsed.claims)),
    index: parsed.index,
  };
}

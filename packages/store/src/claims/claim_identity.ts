/** Which claim a request's idempotency key means, and where it is kept. @module */
import { createHash } from "node:crypto";

/**
 * Keys of the service that share the claims. Fixed for a fleet: with another
 * number a key would be looked for in another place and be claimed anew.
 */
export const SHARDS = 4;

const IDENTITY_BYTES = 16;
/** Bytes of an identity by which sealed claims are looked up. */
export const PREFIX_BYTES = 3;

/** Whose key it is; the same key of two organisations is two keys. */
export type ClaimKey = { service: string; organisation: string; key: string };

/** A name of fixed length, whatever the caller's key is made of. */
export function claimIdentity(claimKey: ClaimKey): string {
  const { service, organisation, key } = claimKey;
  return createHash("sha256")
    .update(JSON.stringify([service, organisation, key]))
    .digest()
    .subarray(0, IDENTITY_BYTES)
    .toString("base64url");
}

/** The shard that keeps the claim. */
export function shardOf(identity: string): number {
  const last = Buffer.from(identity, "base64url").at(-1) ?? 0;
  return last % SHARDS;
}

/** First bytes of the identity. */
export function prefixOf(identity: string): Buffer {
  return Buffer.from(identity, "base64url").subarray(0, PREFIX_BYTES);
}

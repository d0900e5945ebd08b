/**
 * Maps a request's idempotency key to the identity of its claim and to the
 * shard that stores it.
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Number of shards that the claims of a service are divided among; each is one
 * key of the key-value service. Fixed for a fleet: with another number, an
 * idempotency key would be looked up in another shard and could be claimed
 * again.
 */
export const SHARD_COUNT = 4;

const IDENTITY_BYTES = 16;
/** Bytes of an identity by which the index of sealed claims finds it. */
export const PREFIX_BYTES = 3;

/** The key and its owner; the same key of two organisations is two keys. */
export type ClaimKey = { service: string; organisation: string; key: string };

/** Identifier of a claim; its length does not depend on the caller's key. */
export function claimIdentity(claimKey: ClaimKey): string {
  const { service, organisation, key } = claimKey;
  return createHash("sha256")
    .update(JSON.stringify([service, organisation, key]))
    .digest()
    .subarray(0, IDENTITY_BYTES)
    .toString("base64url");
}

/** Number of the shard that stores the claim. */
export function shardOf(identity: string): number {
  const last = Buffer.from(identity, "base64url").at(-1) ?? 0;
  return last % SHARD_COUNT;
}

/** First {@link PREFIX_BYTES} bytes of the identity. */
export function prefixOf(identity: string): Buffer {
  return Buffer.from(identity, "base64url").subarray(0, PREFIX_BYTES);
}

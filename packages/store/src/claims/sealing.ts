/**
 * Moves a shard's settled claims from its head to an immutable segment. The
 * head is written with each batch and has to stay small; a segment is written
 * once and is removed when its lease expires, by the key-value service's own
 * clock.
 * @module
 */
import { randomUUID } from "node:crypto";
import type { KeyValueStore } from "../key_value_store.ts";
import { isSettled } from "./claim.ts";
import type { Claim } from "./claim.ts";
import type { ShardHead } from "./shard_head.ts";
import { createReference, encodeIndex } from "./sealed_index.ts";
import type { SealedIndex } from "./sealed_index.ts";
import type { SealedClaims } from "./sealed_claims.ts";
import { encodeSegment } from "./segment.ts";

/** Size of an encoded head from which its settled claims are sealed. */
export const SEALING_THRESHOLD_BYTES = 32 * 1024;

/** Calls of one sealing: a lease, two writes, a read of the oldest segment. */
export const SEALING_CALLS = 4;

/** Options of {@link seal}. */
export type SealingOptions = {
  store: KeyValueStore;
  sealed: SealedClaims;
  head: ShardHead;
  /** Key of the head; the keys of segments and indexes begin with it. */
  key: string;
  /** Milliseconds that a sealed claim is kept. */
  retention: number;
  /** Milliseconds since 1970. */
  now: number;
};

/**
 * Writes a segment and an index, and resolves to the smaller head, which the
 * caller still has to commit; to `undefined` if nothing can be sealed now. A
 * segment or index that no committed head refers to just expires. Their keys
 * are unique, so that two processes that seal at the same time can't overwrite
 * each other's.
 */
export async function seal(
  options: SealingOptions,
): Promise<ShardHead | undefined> {
  const { store, head, key, retention, now } = options;
  const { settled, open } = splitSettled(head, now);
  const index = await options.sealed.readIndex(head);
  if (settled.size === 0 || index.isErr) {
    return undefined;
  }
  const lease = await store.grantLease(retention);
  if (lease.isErr) {
    return undefined;
  }
  const write = (newKey: string, value: string) =>
    createKey({ store, key: newKey, value, lease: lease.value });
  const segmentKey = `${key}/segment/${randomUUID()}`;
  const indexKey = `${key}/index/${randomUUID()}`;
  const kept = await withoutExpired(store, index.value);
  const next = [...kept, createReference(segmentKey, settled)];
  const written = await write(segmentKey, encodeSegment(settled)) &&
    await write(indexKey, encodeIndex(next));
  return written ? { claims: open, index: indexKey } : undefined;
}

async function createKey(
  options: { store: KeyValueStore; key: string; value: string; lease: string },
): Promise<boolean> {
  const { store, key, value, lease } = options;
  const swap = { key, expected: 0, value, lease };
  const outcome = await store.compareAndSwap(swap);
  return outcome.isOk && outcome.value.swapped;
}

function splitSettled(
  head: ShardHead,
  now: number,
): { settled: Map<string, Claim>; open: Map<string, Claim> } {
  const settled = new Map<string, Claim>();
  const open = new Map<string, Claim>();
  for (const [identity, claim] of head.claims) {
    if (isSettled(claim, now)) {
      settled.set(identity, { outcome: "unknown", ...claim });
    } else {
      open.set(identity, claim);
    }
  }
  return { settled, open };
}

/** Segments expire in the order in which they were sealed. */
async function withoutExpired(
  store: KeyValueStore,
  index: SealedIndex,
): Promise<SealedIndex> {
  let remaining = index;
  for (;;) {
    const [oldest] = remaining;
    if (oldest === undefined) {
      return remaining;
    }
    const entry = await store.get(oldest.segment);
    if (entry.isErr || entry.value !== undefined) {
      return remaining;
    }
    remaining = remaining.slice(1);
  }
}

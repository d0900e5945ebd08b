/**
 * Moves a shard's settled claims out of its head into an immutable segment. The
 * head is written with each batch and has to stay small; a segment is written
 * once and goes when its lease lapses, by the service's own clock.
 * @module
 */
import { randomUUID } from "node:crypto";
import type { KeyValueStore } from "../key_value_store.ts";
import { isSettled } from "./claim.ts";
import type { Claim } from "./claim.ts";
import type { Head } from "./head.ts";
import { encodeIndex, referenceTo } from "./sealed_index.ts";
import type { SealedIndex } from "./sealed_index.ts";
import type { SealedClaims } from "./sealed_claims.ts";
import { encodeSegment } from "./segment.ts";

/** Size from which a head is relieved. */
export const SEALING_BYTES = 32 * 1024;

/** Calls of one sealing: a lease, two writes and a look at the oldest segment. */
export const SEALING_CALLS = 4;

/** What sealing needs besides the head. */
export type SealingOptions = {
  store: KeyValueStore;
  sealed: SealedClaims;
  head: Head;
  /** Key of the head; segments and indexes are named below it. */
  key: string;
  /** Milliseconds that a sealed claim is kept. */
  retention: number;
  /** Milliseconds since 1970. */
  now: number;
};

/**
 * Writes segment and index and resolves to the relieved head, which the caller
 * has yet to commit; `undefined` when nothing can be sealed now. What no committed
 * head names lapses. Each has a name of its own, so that two processes that seal
 * at once can't overwrite each other's.
 */
export async function seal(options: SealingOptions): Promise<Head | undefined> {
  const { store, head, key, retention, now } = options;
  const { settled, open } = split(head, now);
  const index = await options.sealed.index(head);
  if (settled.size === 0 || index.isErr) {
    return undefined;
  }
  const lease = await store.grantLease(retention);
  if (lease.isErr) {
    return undefined;
  }
  const write = (name: string, value: string) =>
    writeOnce({ store, key: name, value, lease: lease.value });
  const segment = `${key}/segment/${randomUUID()}`;
  const indexName = `${key}/index/${randomUUID()}`;
  const kept = await withoutLapsed(store, index.value);
  const next = [...kept, referenceTo(segment, settled)];
  const written = await write(segment, encodeSegment(settled)) &&
    await write(indexName, encodeIndex(next));
  return written ? { claims: open, index: indexName } : undefined;
}

async function writeOnce(
  options: { store: KeyValueStore; key: string; value: string; lease: string },
): Promise<boolean> {
  const { store, key, value, lease } = options;
  const swap = { key, expected: 0, value, lease };
  const outcome = await store.compareAndSwap(swap);
  return outcome.isOk && outcome.value.swapped;
}

function split(
  head: Head,
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

/** Segments lapse in the order in which they were sealed. */
async function withoutLapsed(
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

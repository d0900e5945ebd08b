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
import { encodeSegment, prefixesOf } from "./head.ts";
import type { Head, SealedReference } from "./head.ts";

/** Size from which a head is relieved. */
export const SEALING_BYTES = 128 * 1024;

/** What sealing needs besides the head. */
export type SealingOptions = {
  store: KeyValueStore;
  head: Head;
  /** Key of the head; segments are named below it. */
  key: string;
  /** Milliseconds that a sealed claim is kept. */
  retention: number;
  /** Milliseconds since 1970. */
  now: number;
};

/**
 * Writes the segment and resolves to the relieved head, which the caller has yet
 * to commit; `undefined` when nothing can be sealed now. A segment whose head is
 * not committed is referenced by nobody and lapses. Each has a name of its own,
 * so that two processes that seal at once can't overwrite each other's.
 */
export async function seal(options: SealingOptions): Promise<Head | undefined> {
  const { store, head, key, retention, now } = options;
  const { settled, open } = split(head, now);
  if (settled.size === 0) {
    return undefined;
  }
  const lease = await store.grantLease(retention);
  if (lease.isErr) {
    return undefined;
  }
  const segment = `${key}/${randomUUID()}`;
  const written = await store.compareAndSwap({
    key: segment,
    expected: 0,
    value: encodeSegment(settled),
    lease: lease.value,
  });
  if (written.isErr || !written.value.swapped) {
    return undefined;
  }
  const reference = { segment, prefixes: prefixesOf(settled) };
  const sealed = await withoutLapsed(store, head.sealed);
  return { claims: open, sealed: [...sealed, reference] };
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
  sealed: readonly SealedReference[],
): Promise<readonly SealedReference[]> {
  let remaining = sealed;
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

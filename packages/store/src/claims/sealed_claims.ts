/** Reads the sealed claims of one shard. @module */
import { Result } from "true-myth/result";
import type { KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { Claim, Claims } from "./claim.ts";
import type { ShardHead } from "./shard_head.ts";
import type { Operation } from "./operation.ts";
import { decodeIndex, mayContain } from "./sealed_index.ts";
import type { SealedIndex } from "./sealed_index.ts";
import { decodeSegment } from "./segment.ts";

/** Caches the latest index: the value of an index's key never changes. */
export class SealedClaims {
  readonly #store: KeyValueStore;
  #indexKey: string | undefined;
  #index: SealedIndex = [];

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  /**
   * Returns the index that a head refers to. If the index is absent, its lease
   * has expired, and so have all segments in it, because they were sealed
   * earlier.
   */
  async readIndex(
    head: ShardHead,
  ): Promise<Result<SealedIndex, PlatformError>> {
    if (head.index === this.#indexKey) {
      return Result.ok(this.#index);
    }
    const index = head.index === undefined
      ? Result.ok<SealedIndex, PlatformError>([])
      : await this.#read(head.index, decodeIndex, []);
    if (index.isOk) {
      this.#indexKey = head.index;
      this.#index = index.value;
    }
    return index;
  }

  /**
   * Returns the claims that the head's segments contain for the operations. A
   * new key matches no prefix in the index and takes no read. A segment that
   * can't be read fails the batch, because the request of the key may have run.
   */
  async find(
    head: ShardHead,
    operations: readonly Operation[],
  ): Promise<Result<Claims, PlatformError>> {
    const index = await this.readIndex(head);
    if (index.isErr) {
      return Result.err(index.error);
    }
    const found = new Map<string, Claim>();
    for (const identity of identitiesToFind(head, operations)) {
      for (const reference of index.value) {
        if (!mayContain(reference, identity)) {
          continue;
        }
        const { segment } = reference;
        const claims = await this.#read(segment, decodeSegment, NO_CLAIMS);
        if (claims.isErr) {
          return Result.err(claims.error);
        }
        const claim = claims.value.get(identity);
        if (claim !== undefined) {
          found.set(identity, claim);
        }
      }
    }
    return Result.ok(found);
  }

  async #read<Value>(
    key: string,
    decode: (value: string) => Value | undefined,
    valueIfExpired: Value,
  ): Promise<Result<Value, PlatformError>> {
    const entry = await this.#store.get(key);
    if (entry.isErr) {
      return Result.err(entry.error);
    }
    if (entry.value === undefined) {
      return Result.ok(valueIfExpired);
    }
    const value = decode(entry.value.value);
    return value === undefined ? Result.err(malformed(key)) : Result.ok(value);
  }
}

const NO_CLAIMS: Claims = new Map();

function identitiesToFind(
  head: ShardHead,
  operations: readonly Operation[],
): string[] {
  return operations
    .filter(({ type, identity }) =>
      type === "claim" && !head.claims.has(identity)
    )
    .map(({ identity }) => identity);
}

function malformed(key: string): PlatformError {
  return {
    step: "read sealed claims",
    peer: key,
    reason: "malformed",
    applied: "no",
    detail: "the stored value is not a segment or index of claims",
  };
}

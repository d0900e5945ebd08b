/** Reads the sealed claims of one shard. @module */
import { Result } from "true-myth/result";
import type { KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { Claim, Claims } from "./claim.ts";
import type { Head } from "./head.ts";
import type { Operation } from "./operation.ts";
import { decodeIndex, mayHold } from "./sealed_index.ts";
import type { SealedIndex } from "./sealed_index.ts";
import { decodeSegment } from "./segment.ts";

/** Keeps the latest index; values never change under a name. */
export class SealedClaims {
  readonly #store: KeyValueStore;
  #name: string | undefined;
  #index: SealedIndex = [];

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  /**
   * The index of a head. One that is gone has lapsed, and so has every segment
   * that it names, since they were sealed before it.
   */
  async index(head: Head): Promise<Result<SealedIndex, PlatformError>> {
    if (head.index === this.#name) {
      return Result.ok(this.#index);
    }
    const index = head.index === undefined
      ? Result.ok<SealedIndex, PlatformError>([])
      : await this.#read(head.index, decodeIndex, []);
    if (index.isOk) {
      this.#name = head.index;
      this.#index = index.value;
    }
    return index;
  }

  /**
   * Claims of the operations that the head's segments hold. A new key matches no
   * prefix and costs no read. A segment that can't be read fails the batch, since
   * its key may have run.
   */
  async find(
    head: Head,
    operations: readonly Operation[],
  ): Promise<Result<Claims, PlatformError>> {
    const index = await this.index(head);
    if (index.isErr) {
      return Result.err(index.error);
    }
    const found = new Map<string, Claim>();
    for (const identity of soughtIdentities(head, operations)) {
      for (const reference of index.value) {
        if (!mayHold(reference, identity)) {
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
    lapsed: Value,
  ): Promise<Result<Value, PlatformError>> {
    const entry = await this.#store.get(key);
    if (entry.isErr) {
      return Result.err(entry.error);
    }
    if (entry.value === undefined) {
      return Result.ok(lapsed);
    }
    const value = decode(entry.value.value);
    return value === undefined ? Result.err(malformed(key)) : Result.ok(value);
  }
}

const NO_CLAIMS: Claims = new Map();

function soughtIdentities(
  head: Head,
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
    detail: "the value holds no claims",
  };
}

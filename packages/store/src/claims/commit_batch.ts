/** Commits one batch of operations to a shard by compare-and-swap. @module */
import { Result } from "true-myth/result";
import { MAXIMUM_VALUE_BYTES } from "../key_value_store.ts";
import type { KeyValueEntry, KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import { applyOperations } from "./apply_operations.ts";
import type { ClaimResult } from "./claim_result.ts";
import type { CommitRateLimiter } from "./commit_rate_limiter.ts";
import {
  decodeHead,
  EMPTY_HEAD,
  encodeHead,
  mergeLostClaims,
} from "./shard_head.ts";
import type { ShardHead } from "./shard_head.ts";
import type { Operation } from "./operation.ts";
import type { SealedClaims } from "./sealed_claims.ts";
import { seal, SEALING_CALLS, SEALING_THRESHOLD_BYTES } from "./sealing.ts";

/** Writes with unknown effect after which a batch fails. */
const MAX_AMBIGUOUS_WRITES = 4;
/** Conflicts with writes of other processes after which a batch fails. */
const MAX_CONFLICTS = 8;
/** Milliseconds that each write with unknown effect adds to the pause. */
const AMBIGUOUS_WRITE_PAUSE = 100;
/** Maximum milliseconds that each further conflict adds to the pause. */
const CONFLICT_PAUSE = 5;

/** A shard's head with its revision in the key-value service, and its era. */
export type CachedHead = { head: ShardHead; revision: number; era: number };

/** A batch of operations and the shard that it is for. */
export type BatchOptions = {
  store: KeyValueStore;
  key: string;
  cached: CachedHead | undefined;
  /** The head that was read or written last, also if it may be out of date. */
  lastKnown: CachedHead | undefined;
  sealed: SealedClaims;
  operations: readonly Operation[];
  retention: () => number;
  rateLimiter: CommitRateLimiter;
  pause: (duration: number) => Promise<void>;
  random: () => number;
  now: () => number;
};

/** Results of the batch's claims, and the head for the next batch. */
export type CommitOutcome = {
  results: Result<ReadonlyMap<Operation, ClaimResult>, PlatformError>;
  cached: CachedHead | undefined;
  lastKnown: CachedHead | undefined;
};

type ClaimResults = ReadonlyMap<Operation, ClaimResult>;

/**
 * Commits all operations or fails as a whole. Results are based only on a head
 * that was stored in the service at the time: one that the swap confirmed, or
 * that was read again for this batch.
 */
export function commitBatch(options: BatchOptions): Promise<CommitOutcome> {
  return new BatchCommit(options).run();
}

class BatchCommit {
  readonly #options: BatchOptions;
  #cached: CachedHead | undefined;
  #lastKnown: CachedHead | undefined;
  #headReadInBatch = false;
  /** The head holds claims that a restored service has lost. */
  #hasLostClaims = false;
  #ambiguousError: PlatformError | undefined;
  #ambiguousWrites = 0;
  #conflicts = 0;

  constructor(options: BatchOptions) {
    this.#options = options;
    this.#cached = options.cached;
    this.#lastKnown = options.lastKnown;
  }

  async run(): Promise<CommitOutcome> {
    for (;;) {
      const results = await this.#attempt();
      if (results !== undefined) {
        return {
          results,
          cached: this.#cached,
          lastKnown: this.#cached ?? this.#lastKnown,
        };
      }
    }
  }

  /** Returns `undefined` if another attempt is needed. */
  async #attempt(): Promise<Result<ClaimResults, PlatformError> | undefined> {
    const { operations } = this.#options;
    const current = this.#cached ?? await this.#read();
    if (current === undefined || "reason" in current) {
      return current && this.#fail(current);
    }
    const sealed = await this.#options.sealed.find(current.head, operations);
    if (sealed.isErr) {
      return this.#fail(sealed.error);
    }
    const applied = applyOperations(current.head, operations, sealed.value);
    if (applied.changed || this.#hasLostClaims) {
      return this.#swap(current, applied.head, applied.results);
    }
    if (this.#headReadInBatch) {
      return Result.ok(applied.results);
    }
    this.#cached = undefined;
    return undefined;
  }

  async #read(): Promise<CachedHead | PlatformError> {
    const { store, key } = this.#options;
    const entry = await store.get(key);
    if (entry.isErr) {
      return entry.error;
    }
    return this.#cacheHead(entry.value);
  }

  #cacheHead(entry: KeyValueEntry | undefined): CachedHead | PlatformError {
    const head = entry === undefined ? EMPTY_HEAD : decodeHead(entry.value);
    if (head === undefined) {
      return this.#createError(
        "malformed",
        "the stored value is not a shard of claims",
      );
    }
    const { era } = this.#options.store;
    const complete = this.#withLostClaims(head, era);
    this.#hasLostClaims = complete !== head;
    this.#cached = { head: complete, revision: entry?.revision ?? 0, era };
    this.#headReadInBatch = true;
    return this.#cached;
  }

  /** Adds what this process knows of an era that a restore has ended. */
  #withLostClaims(head: ShardHead, era: number): ShardHead {
    const known = this.#lastKnown;
    return known === undefined || known.era === era
      ? head
      : mergeLostClaims(head, known.head);
  }

  async #swap(
    current: CachedHead,
    next: ShardHead,
    results: ClaimResults,
  ): Promise<Result<ClaimResults, PlatformError> | undefined> {
    const { store, key } = this.#options;
    const { head, value } = await this.#sealIfLarge(next);
    if (Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
      return this.#fail(
        this.#createError(
          "too_large",
          "the shard's claims do not fit a stored value",
        ),
      );
    }
    const { revision: expected, era } = current;
    const outcome = await store.compareAndSwap({ key, expected, era, value });
    if (outcome.isErr) {
      return outcome.error.reason === "outdated"
        ? this.#handleRestore(outcome.error)
        : this.#handleAmbiguousWrite(outcome.error);
    }
    if (outcome.value.swapped) {
      this.#hasLostClaims = false;
      this.#cached = { head, revision: outcome.value.revision, era };
      return Result.ok(results);
    }
    const newest = this.#cacheHead(outcome.value.current);
    return "reason" in newest ? this.#fail(newest) : this.#handleConflict();
  }

  async #sealIfLarge(
    next: ShardHead,
  ): Promise<{ head: ShardHead; value: string }> {
    const value = encodeHead(next);
    if (value.length < SEALING_THRESHOLD_BYTES) {
      return { head: next, value };
    }
    const { store, sealed, key, retention, rateLimiter, now } = this.#options;
    rateLimiter.charge(SEALING_CALLS);
    const head = await seal({
      store,
      sealed,
      head: next,
      key,
      retention: retention(),
      now: now(),
    });
    return head === undefined
      ? { head: next, value }
      : { head, value: encodeHead(head) };
  }

  /**
   * The write may have taken effect, may still do so, or may be lost. The next
   * attempt expects the same revision: if this write took effect, the next one
   * is refused and returns a head that contains this batch's claims.
   */
  async #handleAmbiguousWrite(
    error: PlatformError,
  ): Promise<Result<ClaimResults, PlatformError> | undefined> {
    if (error.applied === "no" && this.#ambiguousError === undefined) {
      return this.#fail(error);
    }
    this.#ambiguousError ??= error;
    this.#ambiguousWrites += 1;
    this.#options.rateLimiter.charge(1);
    if (this.#ambiguousWrites >= MAX_AMBIGUOUS_WRITES) {
      return this.#fail(error);
    }
    await this.#options.pause(AMBIGUOUS_WRITE_PAUSE * this.#ambiguousWrites);
    return undefined;
  }

  /** The head belongs to an era that has ended: it is read again. */
  #handleRestore(
    error: PlatformError,
  ): Promise<Result<ClaimResults, PlatformError> | undefined> {
    if (error.applied === "unknown") this.#ambiguousError ??= error;
    this.#dropCachedHead();
    return this.#handleConflict();
  }

  /** A head with lost claims that was not written yet is not known as stored. */
  #dropCachedHead(): void {
    if (!this.#hasLostClaims) {
      this.#lastKnown = this.#cached ?? this.#lastKnown;
    }
    this.#cached = undefined;
  }

  /**
   * The refused swap returned the newest head. It is used at once, because
   * under contention it is soon stale again; the jitter separates processes
   * that have conflicted before.
   */
  async #handleConflict(): Promise<
    Result<ClaimResults, PlatformError> | undefined
  > {
    this.#conflicts += 1;
    this.#options.rateLimiter.charge(1);
    if (this.#conflicts >= MAX_CONFLICTS) {
      return this.#fail(
        this.#createError(
          "budget",
          "too many conflicts with writes of other processes",
        ),
      );
    }
    const { pause, random } = this.#options;
    await pause(CONFLICT_PAUSE * random() * (this.#conflicts - 1));
    return undefined;
  }

  #fail(error: PlatformError): Result<ClaimResults, PlatformError> {
    this.#dropCachedHead();
    return Result.err(
      this.#ambiguousError === undefined
        ? error
        : { ...error, applied: "unknown" },
    );
  }

  #createError(reason: PlatformError["reason"], detail: string): PlatformError {
    const { key } = this.#options;
    return { step: "commit claims", peer: key, reason, applied: "no", detail };
  }
}

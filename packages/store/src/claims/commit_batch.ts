/** One batch of operations, written by compare-and-swap. @module */
import { Result } from "true-myth/result";
import { MAXIMUM_VALUE_BYTES } from "../key_value_store.ts";
import type { KeyValueEntry, KeyValueStore } from "../key_value_store.ts";
import type { PlatformError } from "../platform_error.ts";
import { applyOperations } from "./apply_operations.ts";
import type { ClaimAnswer } from "./claim_answer.ts";
import type { CommitPace } from "./commit_pace.ts";
import { decodeHead, EMPTY_HEAD, encodeHead } from "./head.ts";
import type { Head } from "./head.ts";
import type { Operation } from "./operation.ts";
import type { SealedClaims } from "./sealed_claims.ts";
import { seal, SEALING_BYTES, SEALING_CALLS } from "./sealing.ts";

/** Lost answers after which a batch fails. */
const ATTEMPTS_IN_DOUBT = 4;
/** Races lost to other processes after which a batch fails. */
const ATTEMPTS_IN_RACE = 8;
const PAUSE_IN_DOUBT = 100;
const PAUSE_IN_RACE = 5;

/** A head with the revision at which it was seen. */
export type CachedHead = { head: Head; revision: number };

/** A batch and what is known of the shard. */
export type BatchOptions = {
  store: KeyValueStore;
  key: string;
  cached: CachedHead | undefined;
  sealed: SealedClaims;
  operations: readonly Operation[];
  retention: () => number;
  pace: CommitPace;
  pause: (duration: number) => Promise<void>;
  random: () => number;
  now: () => number;
};

/** The answers of the batch's claims, and the head for the next batch. */
export type CommitOutcome = {
  answers: Result<ReadonlyMap<Operation, ClaimAnswer>, PlatformError>;
  cached: CachedHead | undefined;
};

type Answers = ReadonlyMap<Operation, ClaimAnswer>;

/**
 * Commits all operations or fails as a whole. An answer is given only from a
 * head that was the service's at the time: one that the swap confirmed, or that
 * was read anew.
 */
export function commitBatch(options: BatchOptions): Promise<CommitOutcome> {
  return new BatchCommit(options).run();
}

class BatchCommit {
  readonly #options: BatchOptions;
  #cached: CachedHead | undefined;
  #fresh = false;
  #doubt: PlatformError | undefined;
  #doubts = 0;
  #races = 0;

  constructor(options: BatchOptions) {
    this.#options = options;
    this.#cached = options.cached;
  }

  async run(): Promise<CommitOutcome> {
    for (;;) {
      const answers = await this.#attempt();
      if (answers !== undefined) {
        return { answers, cached: this.#cached };
      }
    }
  }

  /** `undefined` asks for another attempt. */
  async #attempt(): Promise<Result<Answers, PlatformError> | undefined> {
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
    if (applied.changed) {
      return this.#swap(current, applied.head, applied.answers);
    }
    if (this.#fresh) {
      return Result.ok(applied.answers);
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
    return this.#see(entry.value);
  }

  #see(entry: KeyValueEntry | undefined): CachedHead | PlatformError {
    const head = entry === undefined ? EMPTY_HEAD : decodeHead(entry.value);
    if (head === undefined) {
      return this.#error("malformed", "the value holds no claims");
    }
    this.#cached = { head, revision: entry?.revision ?? 0 };
    this.#fresh = true;
    return this.#cached;
  }

  async #swap(
    current: CachedHead,
    next: Head,
    answers: Answers,
  ): Promise<Result<Answers, PlatformError> | undefined> {
    const { store, key } = this.#options;
    const { head, value } = await this.#relieved(next);
    if (Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
      return this.#fail(this.#error("too_large", "the shard is full"));
    }
    const expected = current.revision;
    const outcome = await store.compareAndSwap({ key, expected, value });
    if (outcome.isErr) {
      return this.#unsure(outcome.error);
    }
    if (outcome.value.swapped) {
      this.#cached = { head, revision: outcome.value.revision };
      return Result.ok(answers);
    }
    const seen = this.#see(outcome.value.current);
    return "reason" in seen ? this.#fail(seen) : this.#raceLost();
  }

  async #relieved(next: Head): Promise<{ head: Head; value: string }> {
    const value = encodeHead(next);
    if (value.length < SEALING_BYTES) {
      return { head: next, value };
    }
    const { store, sealed, key, retention, pace, now } = this.#options;
    pace.charge(SEALING_CALLS);
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
   * The write may have taken effect, may do so yet, or never will. The next
   * attempt names the same revision: if this one took effect, that one is refused
   * and brings back a head in which the claimants are found.
   */
  async #unsure(
    error: PlatformError,
  ): Promise<Result<Answers, PlatformError> | undefined> {
    if (error.applied === "no" && this.#doubt === undefined) {
      return this.#fail(error);
    }
    this.#doubt ??= error;
    this.#doubts += 1;
    this.#options.pace.charge(1);
    if (this.#doubts >= ATTEMPTS_IN_DOUBT) {
      return this.#fail(error);
    }
    await this.#options.pause(PAUSE_IN_DOUBT * this.#doubts);
    return undefined;
  }

  /**
   * The refused swap brought the newest head back. It is used at once, for under
   * contention it is soon stale again; the jitter parts racers that met twice.
   */
  async #raceLost(): Promise<Result<Answers, PlatformError> | undefined> {
    this.#races += 1;
    this.#options.pace.charge(1);
    if (this.#races >= ATTEMPTS_IN_RACE) {
      return this.#fail(this.#error("budget", "too many processes write"));
    }
    const { pause, random } = this.#options;
    await pause(PAUSE_IN_RACE * random() * (this.#races - 1));
    return undefined;
  }

  #fail(error: PlatformError): Result<Answers, PlatformError> {
    this.#cached = undefined;
    return Result.err(
      this.#doubt === undefined ? error : { ...error, applied: "unknown" },
    );
  }

  #error(reason: PlatformError["reason"], detail: string): PlatformError {
    const { key } = this.#options;
    return { step: "commit claims", peer: key, reason, applied: "no", detail };
  }
}

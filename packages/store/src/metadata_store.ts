/**
 * A store with ordered keys, prefix reads, watches over a prefix, conditional
 * writes of several keys, and leases: what an entry keeps and follows its state
 * in where the platform offers one. Every call has a price.
 * @module
 */
import type { Result } from "true-myth/result";
import type { PlatformError } from "./platform_error.ts";

/** One stored key. */
export type StoredItem = { key: string; value: string; revision: number };

/** A page of the keys below a prefix, as of a revision of the whole store. */
export type ItemPage = {
  items: StoredItem[];
  /** More keys follow the last one. */
  more: boolean;
  asOf: number;
};

/** A key that was written or removed. */
export type ItemChange =
  | { kind: "written"; item: StoredItem }
  | { kind: "removed"; key: string; revision: number };

/** What a watch saw. */
export type ChangeBatch =
  | { kind: "changes"; changes: ItemChange[]; asOf: number }
  /** The history is gone: read everything again. */
  | { kind: "compacted" };

/** A write that happens as a whole, or not at all. */
export type Transaction = {
  /** Revisions that the keys must have; 0: absent. */
  expected: readonly { key: string; revision: number }[];
  writes: readonly { key: string; value: string; lease?: number }[];
  removals: readonly string[];
};

/** What became of a transaction. */
export type TransactionOutcome =
  | { kind: "committed"; revision: number }
  | { kind: "conflict" }
  | { kind: "no_lease" };

/** What to watch; `wait` in milliseconds. */
export type WatchPrefixOptions = {
  prefix: string;
  after: number;
  wait: number;
  /** Gives the watch up: it then fails as unreachable. */
  signal?: AbortSignal;
};

/**
 * A write without an answer may have taken effect, or may still do so: its error
 * says `applied: "unknown"`.
 */
export abstract class MetadataStore {
  /** Keys below `prefix` that follow `after`, in order; `signal` gives it up. */
  abstract readPage(
    prefix: string,
    after?: string,
    signal?: AbortSignal,
  ): Promise<Result<ItemPage, PlatformError>>;

  /** Resolves with the changes after a revision, or with none after `wait` ms. */
  abstract watchPrefix(
    options: WatchPrefixOptions,
  ): Promise<Result<ChangeBatch, PlatformError>>;

  abstract transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>>;

  /** Grants a lease of `duration` milliseconds. */
  abstract grantLease(duration: number): Promise<Result<number, PlatformError>>;

  /** Extends a lease; `false` once it has lapsed. */
  abstract renewLease(lease: number): Promise<Result<boolean, PlatformError>>;

  abstract revokeLease(lease: number): Promise<Result<void, PlatformError>>;
}

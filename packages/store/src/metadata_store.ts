/**
 * A store with ordered keys, prefix reads, prefix watches, transactions over
 * several keys, and leases. Where the platform offers one, an entry keeps its
 * state there and follows the state of others. Every call has a cost.
 *
 * The store may be restored from an older copy, and then has lost its newest
 * writes and gives out their revisions and leases again. Each outcome therefore
 * states its era, a number that rises with each restore; a store that knows no
 * eras is a single one, 0. Revisions and leases are valid in their era only.
 * @module
 */
import type { Result } from "true-myth/result";
import type { PlatformError } from "./platform_error.ts";

/** A stored key, with the store's revision at its last write. */
export type StoredItem = { key: string; value: string; revision: number };

/** The era of a call's outcome. */
export type EraStatement = { era: number };

/** A page of the keys with a prefix, as of a revision of the whole store. */
export type ItemPage = EraStatement & {
  items: StoredItem[];
  /** Whether more keys follow the last one of this page. */
  more: boolean;
  asOf: number;
};

/** A key that was written or removed. */
export type ItemChange =
  | { kind: "written"; item: StoredItem }
  | { kind: "removed"; key: string; revision: number };

/**
 * Result of a watch. It misses changes if its era is not the one of the
 * revision that was watched from.
 */
export type ChangeBatch =
  & EraStatement
  & (
    | { kind: "changes"; changes: ItemChange[]; asOf: number }
    /** The store lacks the history: read all items again. */
    | { kind: "compacted" }
  );

/** Writes and removals that take effect all together or not at all. */
export type Transaction = {
  /** Revisions that the keys must have; 0: the key must be absent. */
  expected: readonly { key: string; revision: number }[];
  writes: readonly { key: string; value: string; lease?: number }[];
  removals: readonly string[];
};

/** Result of a transaction; `no_lease`: a write names an unknown lease. */
export type TransactionOutcome =
  & EraStatement
  & (
    | { kind: "committed"; revision: number }
    | { kind: "conflict" }
    | { kind: "no_lease" }
  );

/** A granted lease; `id` may be given out again in a later era. */
export type Lease = EraStatement & { id: number };

/** Result of a renewal; `renewed` is false if the lease has expired. */
export type LeaseRenewal = EraStatement & { renewed: boolean };

/**
 * Prefix to watch, the revision that the watcher has already, and the maximum
 * wait in milliseconds.
 */
export type WatchPrefixOptions = {
  prefix: string;
  after: number;
  wait: number;
  /** Aborts the watch, which then fails as unreachable. */
  signal?: AbortSignal;
};

/**
 * A write without a response may have taken effect, or may still do so: its
 * error has `applied: "unknown"`.
 */
export abstract class MetadataStore {
  /** Reads keys with `prefix` after `after`, in order; `signal` aborts it. */
  abstract readPage(
    prefix: string,
    after?: string,
    signal?: AbortSignal,
  ): Promise<Result<ItemPage, PlatformError>>;

  /** Resolves to the changes after a revision; to none after `wait` ms. */
  abstract watchPrefix(
    options: WatchPrefixOptions,
  ): Promise<Result<ChangeBatch, PlatformError>>;

  abstract transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>>;

  /** Grants a lease of `duration` milliseconds. */
  abstract grantLease(duration: number): Promise<Result<Lease, PlatformError>>;

  abstract renewLease(
    lease: number,
  ): Promise<Result<LeaseRenewal, PlatformError>>;

  abstract revokeLease(lease: number): Promise<Result<void, PlatformError>>;
}

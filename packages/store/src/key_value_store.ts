/**
 * The platform's small key-value service, as far as this project uses it. Every
 * call counts towards the call budget; a watch counts as one call, however long
 * it waits.
 *
 * The service may be restored from an older copy, and then has lost its newest
 * writes and gives out their revisions and leases again. It states its era, a
 * number that rises with each restore; a service that knows no eras is a single
 * one, 0. A response of an older era than the newest known one fails as
 * `outdated`.
 * @module
 */
import type { Result } from "true-myth/result";
import type { PlatformError } from "./platform_error.ts";

/** Largest value that the service accepts. */
export const MAXIMUM_VALUE_BYTES = 1024 * 1024;

/**
 * A stored value. `revision` grows with every write of the key; revision 0
 * stands for an absent key.
 */
export type KeyValueEntry = { value: string; revision: number };

/** A write that takes effect only if the key has not changed. */
export type SwapOptions = {
  key: string;
  /** Revision that the key must have; 0: the key must be absent. */
  expected: number;
  /**
   * Era in which `expected` was read; by default the newest known one. In a
   * newer era the write fails as `outdated`. If the service was restored just
   * before the write arrived, it may have taken effect nevertheless.
   */
  era?: number;
  value: string;
  /** Lease that the key is bound to; the key is removed when it expires. */
  lease?: string;
};

/** Result of a compare-and-swap; if refused, with the entry stored now. */
export type SwapOutcome =
  | { swapped: true; revision: number }
  | { swapped: false; current: KeyValueEntry | undefined };

/**
 * Key to watch, the revision that the watcher has already, and the maximum wait
 * in milliseconds.
 */
export type WatchOptions = { key: string; after: number; wait: number };

/** Result of a watch: the key's current entry, or no change within the wait. */
export type WatchOutcome =
  | { changed: true; entry: KeyValueEntry | undefined }
  | { changed: false };

/**
 * A failed write is ambiguous unless its error has `applied: "no"`: the service
 * may have applied it although the response was lost. Callers have to read the
 * key to find out.
 */
export abstract class KeyValueStore {
  /** Newest era that is known; 0 before the first response. */
  abstract get era(): number;

  /** Calls `listener` after each restore of the service that is noticed. */
  abstract onRestore(listener: () => void): void;

  abstract get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>>;

  /** Writes `value` if the key's revision is still `expected` (0: absent). */
  abstract compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>>;

  /**
   * Grants a lease of `duration` milliseconds; resolves to its identifier, which
   * is valid in the present era.
   */
  abstract grantLease(duration: number): Promise<Result<string, PlatformError>>;

  /** Extends a lease; resolves to `false` if it has already expired. */
  abstract renewLease(lease: string): Promise<Result<boolean, PlatformError>>;

  abstract revokeLease(lease: string): Promise<Result<void, PlatformError>>;

  /**
   * Resolves as soon as the key's revision differs from `after`, or after
   * `wait` milliseconds without a change. With `wait: 0` it is a read that does
   * not transfer a value that the caller already has. A lower revision counts
   * as a change too, so that a watcher notices at once when the service is
   * restored to an older state.
   */
  abstract watch(
    options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>>;
}

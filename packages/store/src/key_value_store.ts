/**
 * The platform's small key-value service as the project uses it. Every call
 * counts towards the service's budget, a waiting watch as one call.
 * @module
 */
import type { Result } from "true-myth/result";
import type { PlatformError } from "./platform_error.ts";

/** Longest value that the service takes. */
export const MAXIMUM_VALUE_BYTES = 1024 * 1024;

/** A stored value. `revision` grows with every write of the key; 0 is absent. */
export type KeyValueEntry = { value: string; revision: number };

/** A write that happens only if the key is unchanged. */
export type SwapOptions = {
  key: string;
  /** Revision the key must have for the write to happen; 0: absent. */
  expected: number;
  value: string;
  /** Lease that the key is bound to; the key goes when the lease lapses. */
  lease?: string;
};

/** What became of a compare-and-swap. */
export type SwapOutcome =
  | { swapped: true; revision: number }
  | { swapped: false; current: KeyValueEntry | undefined };

/** Waits for a key to change; `wait` in milliseconds. */
export type WatchOptions = { key: string; after: number; wait: number };

/** What a watch saw: the key as it is now, or that nothing happened. */
export type WatchOutcome =
  | { changed: true; entry: KeyValueEntry | undefined }
  | { changed: false };

/**
 * A failed write is ambiguous unless the error says `applied: "no"`: the
 * service may have taken it and lost the answer. Callers read back.
 */
export abstract class KeyValueStore {
  abstract get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>>;

  /** Writes `value` only if the key's revision is still `expected` (0: absent). */
  abstract compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>>;

  /** Grants a lease of `duration` milliseconds; resolves to its identity. */
  abstract grantLease(duration: number): Promise<Result<string, PlatformError>>;

  /** Extends a lease; `false` when it has already lapsed. */
  abstract renewLease(lease: string): Promise<Result<boolean, PlatformError>>;

  abstract revokeLease(lease: string): Promise<Result<void, PlatformError>>;

  /**
   * Resolves as soon as the key's revision is not `after`, or unchanged after
   * `wait` milliseconds; `wait: 0` is a read that costs no transfer of a value
   * that the caller has already. "Not `after`", rather than "above it": when the
   * service is restored to an older state, the watcher learns it at once.
   */
  abstract watch(
    options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>>;
}

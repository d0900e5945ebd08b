/**
 * The platform's small key-value service as the project uses it. Every call
 * counts towards the service's budget, a waiting watch as one call.
 * @module
 */
import type { Result } from "true-myth/result";
import type { PlatformError } from "./platform_error.ts";

/** A stored value. `revision` grows with every write of the key; 0 is absent. */
export type Entry = { value: string; revision: number };

/** What became of a compare-and-swap. */
export type SwapOutcome =
  | { swapped: true; revision: number }
  | { swapped: false; current: Entry | undefined };

/**
 * A failed write is ambiguous unless the error says `applied: "no"`: the
 * service may have taken it and lost the answer. Callers read back.
 */
export abstract class KeyValueStore {
  abstract get(key: string): Promise<Result<Entry | undefined, PlatformError>>;

  /** Writes `value` only if the key's revision is still `expected` (0: absent). */
  abstract compareAndSwap(
    options: {
      key: string;
      expected: number;
      value: string;
      /** Lease that the key is bound to; the key goes when the lease lapses. */
      lease?: string;
    },
  ): Promise<Result<SwapOutcome, PlatformError>>;

  /** Grants a lease of `duration` milliseconds; resolves to its identity. */
  abstract grantLease(duration: number): Promise<Result<string, PlatformError>>;

  /** Extends a lease; `false` when it has already lapsed. */
  abstract renewLease(lease: string): Promise<Result<boolean, PlatformError>>;

  abstract revokeLease(lease: string): Promise<Result<void, PlatformError>>;

  /** Waits up to `wait` milliseconds until the key's revision exceeds `after`. */
  abstract watch(
    options: { key: string; after: number; wait: number },
  ): Promise<Result<Entry | undefined, PlatformError>>;
}

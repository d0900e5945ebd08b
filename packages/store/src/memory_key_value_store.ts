/**
 * A key-value service within one process, for tests and as the state of the
 * emulated service.
 * @module
 */
import { Result } from "true-myth/result";
import { KeyValueStore, MAXIMUM_VALUE_BYTES } from "./key_value_store.ts";
import type {
  KeyValueEntry,
  SwapOptions,
  SwapOutcome,
  WatchOptions,
  WatchOutcome,
} from "./key_value_store.ts";
import type { PlatformError } from "./platform_error.ts";

type StoredEntry = KeyValueEntry & { lease?: string };
type Lease = { duration: number; lapsesAt: number };

/** A copy of the whole state, to restore an older one in a test. */
export type KeyValueBackup = {
  entries: [string, StoredEntry][];
};

const MAXIMUM_WATCH_SLICE = 50;

/** Holds everything in memory; lapses leases lazily by the given clock. */
export class MemoryKeyValueStore extends KeyValueStore {
  #clock: () => number;
  #entries = new Map<string, StoredEntry>();
  #leases = new Map<string, Lease>();
  #wakeups = new Set<() => void>();
  #counter = 0;

  constructor(options: { clock?: () => number } = {}) {
    super();
    this.#clock = options.clock ?? (() => performance.now());
  }

  override get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    return Promise.resolve(Result.ok(this.#current(key)));
  }

  override compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const error = this.#refusal(options);
    if (error !== undefined) {
      return Promise.resolve(Result.err(error));
    }
    const current = this.#current(options.key);
    if ((current?.revision ?? 0) !== options.expected) {
      return Promise.resolve(Result.ok({ swapped: false, current }));
    }
    this.#counter += 1;
    const revision = this.#counter;
    this.#entries.set(options.key, {
      value: options.value,
      revision,
      ...(options.lease === undefined ? {} : { lease: options.lease }),
    });
    this.#wake();
    return Promise.resolve(Result.ok({ swapped: true, revision }));
  }

  override grantLease(
    duration: number,
  ): Promise<Result<string, PlatformError>> {
    this.#counter += 1;
    const lease = `lease-${this.#counter}`;
    const lapsesAt = this.#clock() + duration;
    this.#leases.set(lease, { duration, lapsesAt });
    return Promise.resolve(Result.ok(lease));
  }

  override renewLease(lease: string): Promise<Result<boolean, PlatformError>> {
    this.#lapse();
    const held = this.#leases.get(lease);
    if (held === undefined) {
      return Promise.resolve(Result.ok(false));
    }
    held.lapsesAt = this.#clock() + held.duration;
    return Promise.resolve(Result.ok(true));
  }

  override revokeLease(lease: string): Promise<Result<void, PlatformError>> {
    this.#leases.delete(lease);
    this.#dropEntriesOf(lease);
    return Promise.resolve(Result.ok(undefined));
  }

  override async watch(
    options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>> {
    const until = performance.now() + options.wait;
    let entry = this.#current(options.key);
    while (
      (entry?.revision ?? 0) === options.after && performance.now() < until
    ) {
      await this.#change(until - performance.now());
      entry = this.#current(options.key);
    }
    const changed = (entry?.revision ?? 0) !== options.after;
    return Result.ok(changed ? { changed, entry } : { changed });
  }

  backup(): KeyValueBackup {
    return { entries: structuredClone([...this.#entries]) };
  }

  /** Puts an older state back, as a service does that lost its newest writes. */
  restore(backup: KeyValueBackup): void {
    this.#entries = new Map(structuredClone(backup.entries));
    this.#wake();
  }

  #current(key: string): KeyValueEntry | undefined {
    this.#lapse();
    const entry = this.#entries.get(key);
    return entry && { value: entry.value, revision: entry.revision };
  }

  #refusal(options: SwapOptions): PlatformError | undefined {
    this.#lapse();
    const size = Buffer.byteLength(options.value);
    if (size > MAXIMUM_VALUE_BYTES) {
      return refused("too_large", `${size} bytes do not fit a value`);
    }
    if (options.lease !== undefined && !this.#leases.has(options.lease)) {
      return refused("status", "the lease has lapsed");
    }
    return undefined;
  }

  #lapse(): void {
    const now = this.#clock();
    for (const [lease, { lapsesAt }] of this.#leases) {
      if (lapsesAt <= now) {
        this.#leases.delete(lease);
        this.#dropEntriesOf(lease);
      }
    }
  }

  #dropEntriesOf(lease: string): void {
    for (const [key, entry] of this.#entries) {
      if (entry.lease === lease) {
        this.#entries.delete(key);
      }
    }
    this.#wake();
  }

  #wake(): void {
    const wakeups = [...this.#wakeups];
    this.#wakeups.clear();
    wakeups.forEach((wakeup) => wakeup());
  }

  /** Resolves at a change, or after a slice so that a lapsed lease is noticed. */
  #change(wait: number): Promise<void> {
    return new Promise((resolve) => {
      const slice = Math.min(wait, MAXIMUM_WATCH_SLICE);
      const timer = setTimeout(() => wakeup(), slice);
      const wakeup = () => {
        clearTimeout(timer);
        this.#wakeups.delete(wakeup);
        resolve();
      };
      this.#wakeups.add(wakeup);
    });
  }
}

function refused(
  reason: PlatformError["reason"],
  detail: string,
): PlatformError {
  return {
    step: "compare-and-swap",
    peer: "memory",
    reason,
    applied: "no",
    detail,
  };
}

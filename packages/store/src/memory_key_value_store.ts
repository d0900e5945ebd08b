/**
 * An in-memory key-value service for tests, which also holds the state of the
 * emulated service.
 * @module
 */
import { Result } from "true-myth/result";
import { EraTracker } from "./era_tracker.ts";
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
type Lease = { duration: number; expiresAt: number };

/** A copy of the whole state, which a test can restore later. */
export type KeyValueBackup = {
  entries: [string, StoredEntry][];
  leases: [string, Lease][];
  counter: number;
};

/** Maximum milliseconds between two checks of a waiting watch. */
const WATCH_POLL_INTERVAL = 50;

/** Expires leases by the given clock, whenever the store is accessed. */
export class MemoryKeyValueStore extends KeyValueStore {
  #clock: () => number;
  #entries = new Map<string, StoredEntry>();
  #leases = new Map<string, Lease>();
  #wakeups = new Set<() => void>();
  #counter = 0;
  readonly #eras = new EraTracker();

  constructor(options: { clock?: () => number } = {}) {
    super();
    this.#clock = options.clock ?? (() => performance.now());
    this.#eras.record(1);
  }

  override get era(): number {
    return this.#eras.newest;
  }

  override onRestore(listener: () => void): void {
    this.#eras.onRestore(listener);
  }

  override get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    return Promise.resolve(Result.ok(this.#read(key)));
  }

  override compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const error = this.#findError(options);
    if (error !== undefined) {
      return Promise.resolve(Result.err(error));
    }
    const current = this.#read(options.key);
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
    this.#wakeWatches();
    return Promise.resolve(Result.ok({ swapped: true, revision }));
  }

  override grantLease(
    duration: number,
  ): Promise<Result<string, PlatformError>> {
    this.#counter += 1;
    const lease = `lease-${this.#counter}`;
    const expiresAt = this.#clock() + duration;
    this.#leases.set(lease, { duration, expiresAt });
    return Promise.resolve(Result.ok(lease));
  }

  override renewLease(lease: string): Promise<Result<boolean, PlatformError>> {
    this.#expireLeases();
    const existing = this.#leases.get(lease);
    if (existing === undefined) {
      return Promise.resolve(Result.ok(false));
    }
    existing.expiresAt = this.#clock() + existing.duration;
    return Promise.resolve(Result.ok(true));
  }

  override revokeLease(lease: string): Promise<Result<void, PlatformError>> {
    this.#leases.delete(lease);
    this.#removeEntriesOf(lease);
    return Promise.resolve(Result.ok(undefined));
  }

  override async watch(
    options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>> {
    const deadline = performance.now() + options.wait;
    let entry = this.#read(options.key);
    while (
      (entry?.revision ?? 0) === options.after && performance.now() < deadline
    ) {
      await this.#waitForChange(deadline - performance.now());
      entry = this.#read(options.key);
    }
    const changed = (entry?.revision ?? 0) !== options.after;
    return Result.ok(changed ? { changed, entry } : { changed });
  }

  backup(): KeyValueBackup {
    return structuredClone({
      entries: [...this.#entries],
      leases: [...this.#leases],
      counter: this.#counter,
    });
  }

  /**
   * Begins an era with an older state, as a service does that lost its newest
   * writes. Revisions and leases are given out again.
   */
  restore(backup: KeyValueBackup): void {
    const { entries, leases, counter } = structuredClone(backup);
    this.#entries = new Map(entries);
    this.#leases = new Map(leases);
    this.#counter = counter;
    this.#eras.record(this.era + 1);
    this.#wakeWatches();
  }

  #read(key: string): KeyValueEntry | undefined {
    this.#expireLeases();
    const entry = this.#entries.get(key);
    return entry && { value: entry.value, revision: entry.revision };
  }

  #findError(options: SwapOptions): PlatformError | undefined {
    this.#expireLeases();
    if (options.era !== undefined && options.era < this.era) {
      return swapError("outdated", `the service is in era ${this.era}`);
    }
    const size = Buffer.byteLength(options.value);
    if (size > MAXIMUM_VALUE_BYTES) {
      return swapError("too_large", `${size} bytes do not fit a value`);
    }
    if (options.lease !== undefined && !this.#leases.has(options.lease)) {
      return swapError("status", "the lease has lapsed");
    }
    return undefined;
  }

  #expireLeases(): void {
    const now = this.#clock();
    for (const [lease, { expiresAt }] of this.#leases) {
      if (expiresAt <= now) {
        this.#leases.delete(lease);
        this.#removeEntriesOf(lease);
      }
    }
  }

  #removeEntriesOf(lease: string): void {
    for (const [key, entry] of this.#entries) {
      if (entry.lease === lease) {
        this.#entries.delete(key);
      }
    }
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    const wakeups = [...this.#wakeups];
    this.#wakeups.clear();
    wakeups.forEach((wakeup) => wakeup());
  }

  /** Resolves at a change, or after a poll interval to find expired leases. */
  #waitForChange(wait: number): Promise<void> {
    return new Promise((resolve) => {
      const delay = Math.min(wait, WATCH_POLL_INTERVAL);
      const timer = setTimeout(() => wakeup(), delay);
      const wakeup = () => {
        clearTimeout(timer);
        this.#wakeups.delete(wakeup);
        resolve();
      };
      this.#wakeups.add(wakeup);
    });
  }
}

function swapError(
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

/** A metadata store within one process, for tests and stand-ins. @module */
import { Result } from "true-myth/result";
import { MetadataStore } from "./metadata_store.ts";
import type {
  ChangeBatch,
  ItemChange,
  ItemPage,
  StoredItem,
  Transaction,
  TransactionOutcome,
  WatchPrefixOptions,
} from "./metadata_store.ts";
import type { PlatformError } from "./platform_error.ts";

/** Milliseconds between looks for changes of a waiting watch. */
const WATCH_SLICE = 10;
/** Items in one page: small, so that tests read several. */
const PAGE_SIZE = 50;

type Held = StoredItem & { lease: number };

/** Holds everything in memory; {@link MemoryMetadataStore.outage} makes calls fail. */
export class MemoryMetadataStore extends MetadataStore {
  /** While true, every call fails as unreachable. */
  outage = false;
  /** While true, no watch is told of a change. */
  withholdsChanges = false;
  readonly #items = new Map<string, Held>();
  readonly #history: ItemChange[] = [];
  readonly #leases = new Set<number>();
  #revision = 1;
  #oldest = 1;
  /** Counts the times that all waiting watches were cut. */
  #cuts = 0;

  /** Writes a key as an operator or a server does. */
  put(key: string, value: string): void {
    this.#write(key, value, 0);
  }

  /** Removes a key. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision++;
    this.#history.push({ kind: "removed", key, revision: this.#revision });
  }

  /** Cuts the watches that wait. */
  abortWatches(): void {
    this.#cuts++;
  }

  /**
   * Forgets the history: watches from before it are told to read anew, once
   * something below their prefix has changed or their wait is over.
   */
  compact(): void {
    this.#oldest = this.#revision;
    this.#history.length = 0;
  }

  override readPage(
    prefix: string,
    after = "",
  ): Promise<Result<ItemPage, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("read page"));
    const all = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1);
    const items = all.slice(0, PAGE_SIZE)
      .map(({ key, value, revision }) => ({ key, value, revision }));
    const more = all.length > items.length;
    return Promise.resolve(Result.ok({ items, more, asOf: this.#revision }));
  }

  override async watchPrefix(
    options: WatchPrefixOptions,
  ): Promise<Result<ChangeBatch, PlatformError>> {
    const { prefix, after, wait, signal } = options;
    const cuts = this.#cuts;
    for (let waited = 0; waited <= wait; waited += WATCH_SLICE) {
      const lost = this.outage || signal?.aborted || cuts !== this.#cuts;
      if (lost) return this.#unreachable("watch");
      const changes = this.#changesBelow(prefix, after);
      if (changes.length > 0) return Result.ok(this.#told(changes, after));
      await new Promise((resolve) => setTimeout(resolve, WATCH_SLICE));
    }
    return Result.ok(this.#told([], after));
  }

  #changesBelow(prefix: string, after: number): ItemChange[] {
    if (this.withholdsChanges) return [];
    return this.#history.filter((change) =>
      revisionOf(change) > after && keyOf(change).startsWith(prefix)
    );
  }

  #told(changes: ItemChange[], after: number): ChangeBatch {
    return after < this.#oldest
      ? { kind: "compacted" }
      : { kind: "changes", changes, asOf: this.#revision };
  }

  override transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("transact"));
    return Promise.resolve(Result.ok(this.#transact(transaction)));
  }

  override grantLease(): Promise<Result<number, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("grant lease"));
    const lease = ++this.#revision;
    this.#leases.add(lease);
    return Promise.resolve(Result.ok(lease));
  }

  override renewLease(lease: number): Promise<Result<boolean, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("renew lease"));
    return Promise.resolve(Result.ok(this.#leases.has(lease)));
  }

  override revokeLease(lease: number): Promise<Result<void, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("end lease"));
    this.lapse(lease);
    return Promise.resolve(Result.ok(undefined));
  }

  /** Ends a lease, and removes the keys bound to it. */
  lapse(lease: number): void {
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }

  #transact(transaction: Transaction): TransactionOutcome {
    const conflict = transaction.expected.some(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) !== revision
    );
    if (conflict) return { kind: "conflict" };
    for (const { lease } of transaction.writes) {
      if (lease !== undefined && !this.#leases.has(lease)) {
        return { kind: "no_lease" };
      }
    }
    for (const { key, value, lease } of transaction.writes) {
      this.#write(key, value, lease ?? 0);
    }
    for (const key of transaction.removals) this.remove(key);
    return { kind: "committed", revision: this.#revision };
  }

  #write(key: string, value: string, lease: number): void {
    const revision = ++this.#revision;
    this.#items.set(key, { key, value, revision, lease });
    this.#history.push({ kind: "written", item: { key, value, revision } });
  }

  #unreachable<Value>(step: string): Result<Value, PlatformError> {
    return Result.err({
      step,
      peer: "memory",
      reason: "unreachable",
      applied: "no",
      detail: "the store is down",
    });
  }
}

function keyOf(change: ItemChange): string {
  return change.kind === "written" ? change.item.key : change.key;
}

function revisionOf(change: ItemChange): number {
  return change.kind === "written" ? change.item.revision : change.revision;
}

/** An in-memory metadata store for tests and test doubles. @module */
import { Result } from "true-myth/result";
import { MetadataStore } from "./metadata_store.ts";
import type {
  ChangeBatch,
  ItemChange,
  ItemPage,
  Lease,
  LeaseRenewal,
  StoredItem,
  Transaction,
  TransactionOutcome,
  WatchPrefixOptions,
} from "./metadata_store.ts";
import type { PlatformError } from "./platform_error.ts";

/** Milliseconds between two checks of a waiting watch for changes. */
const WATCH_POLL_INTERVAL = 10;
/** Items in one page; small, so that tests read several pages. */
const PAGE_SIZE = 50;

type LeasedItem = StoredItem & { lease: number };

/** A copy of the whole state, which a test can restore later. */
export type MetadataBackup = {
  items: [string, LeasedItem][];
  history: ItemChange[];
  leases: number[];
  revision: number;
  oldestRevision: number;
};

/** Calls fail while {@link MemoryMetadataStore.outage} is set. */
export class MemoryMetadataStore extends MetadataStore {
  /** While true, every call fails as unreachable. */
  outage = false;
  /** While true, watches report no changes. */
  withholdsChanges = false;
  #items = new Map<string, LeasedItem>();
  #history: ItemChange[] = [];
  #leases = new Set<number>();
  #revision = 1;
  #era = 1;
  #oldestRevision = 1;
  /** Number of times that all waiting watches were aborted. */
  #watchAborts = 0;

  /** Writes a key, as an operator or a backend server does. */
  put(key: string, value: string): void {
    this.#write(key, value, 0);
  }

  /** Removes a key, if it is present. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision++;
    this.#history.push({ kind: "removed", key, revision: this.#revision });
  }

  /** Returns all keys that are present. */
  keys(): string[] {
    return [...this.#items.keys()];
  }

  /** Makes all waiting watches fail as unreachable. */
  abortWatches(): void {
    this.#watchAborts++;
  }

  /**
   * Discards the history. Watches from an older revision get `compacted` once a
   * key with their prefix has changed or their wait is over.
   */
  compact(): void {
    this.#oldestRevision = this.#revision;
    this.#history.length = 0;
  }

  get era(): number {
    return this.#era;
  }

  backup(): MetadataBackup {
    return {
      items: [...this.#items],
      history: [...this.#history],
      leases: [...this.#leases],
      revision: this.#revision,
      oldestRevision: this.#oldestRevision,
    };
  }

  /**
   * Begins an era with an older state, as a store does that lost its newest
   * writes: revisions and leases are given out again, and waiting watches fail.
   */
  restore(backup: MetadataBackup): void {
    this.#items = new Map(backup.items);
    this.#history = [...backup.history];
    this.#leases = new Set(backup.leases);
    this.#revision = backup.revision;
    this.#oldestRevision = backup.oldestRevision;
    this.#era++;
    this.abortWatches();
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
    const asOf = this.#revision;
    return Promise.resolve(Result.ok({ items, more, asOf, era: this.#era }));
  }

  override async watchPrefix(
    options: WatchPrefixOptions,
  ): Promise<Result<ChangeBatch, PlatformError>> {
    const { prefix, after, wait, signal } = options;
    const watchAborts = this.#watchAborts;
    for (let waited = 0; waited <= wait; waited += WATCH_POLL_INTERVAL) {
      const aborted = this.outage || signal?.aborted ||
        watchAborts !== this.#watchAborts;
      if (aborted) return this.#unreachable("watch");
      const changes = this.#changesWithPrefix(prefix, after);
      if (changes.length > 0) {
        return Result.ok(this.#changeBatch(changes, after));
      }
      await new Promise((resolve) => setTimeout(resolve, WATCH_POLL_INTERVAL));
    }
    return Result.ok(this.#changeBatch([], after));
  }

  #changesWithPrefix(prefix: string, after: number): ItemChange[] {
    if (this.withholdsChanges) return [];
    return this.#history.filter((change) =>
      revisionOf(change) > after && keyOf(change).startsWith(prefix)
    );
  }

  #changeBatch(changes: ItemChange[], after: number): ChangeBatch {
    const era = this.#era;
    return after < this.#oldestRevision || after > this.#revision
      ? { kind: "compacted", era }
      : { kind: "changes", changes, asOf: this.#revision, era };
  }

  override transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("transact"));
    return Promise.resolve(Result.ok(this.#transact(transaction)));
  }

  override grantLease(): Promise<Result<Lease, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("grant lease"));
    const id = ++this.#revision;
    this.#leases.add(id);
    return Promise.resolve(Result.ok({ id, era: this.#era }));
  }

  override renewLease(
    lease: number,
  ): Promise<Result<LeaseRenewal, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("renew lease"));
    const renewed = this.#leases.has(lease);
    return Promise.resolve(Result.ok({ renewed, era: this.#era }));
  }

  override revokeLease(lease: number): Promise<Result<void, PlatformError>> {
    if (this.outage) return Promise.resolve(this.#unreachable("end lease"));
    this.expireLease(lease);
    return Promise.resolve(Result.ok(undefined));
  }

  /** Ends a lease, and removes the keys bound to it. */
  expireLease(lease: number): void {
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }

  #transact(transaction: Transaction): TransactionOutcome {
    const conflict = transaction.expected.some(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) !== revision
    );
    const era = this.#era;
    if (conflict) return { kind: "conflict", era };
    for (const { lease } of transaction.writes) {
      if (lease !== undefined && !this.#leases.has(lease)) {
        return { kind: "no_lease", era };
      }
    }
    for (const { key, value, lease } of transaction.writes) {
      this.#write(key, value, lease ?? 0);
    }
    for (const key of transaction.removals) this.remove(key);
    return { kind: "committed", revision: this.#revision, era };
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

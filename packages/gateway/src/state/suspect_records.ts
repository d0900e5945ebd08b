/**
 * Keeps requests that crash servers in the store: quarantines, so that entries
 * that are all restarted at the same time refuse the same requests as before,
 * and suspects of several crashes, so that they count on from there.
 *
 * Each statement is a key under a lease that ends with it or later. Running
 * entries share statements directly, so the keys are read at the start, and
 * again while entries can't reach each other. When the store has been restored
 * from an older copy, the granting entry writes all that it knows again.
 * @module
 */
import { setTimeout } from "node:timers/promises";
import { supersedes } from "@sycamorepulley/decisions";
import type { SuspectStatement } from "@sycamorepulley/decisions";
import type { PlatformError, StoredItem } from "@sycamorepulley/store";
import * as v from "valibot";
import { suspectStatementSchema } from "../peers/messages.ts";
import type { EraCheckedStore } from "./era_checked_store.ts";
import type { StoreContact } from "./store_contact.ts";

/** Prefix of the keys of quarantines and suspects; the fingerprint follows. */
export const SUSPECT_PREFIX = "sycamorepulley/quarantines/";
/**
 * Milliseconds for which a record is kept at least. The first quarantine of a
 * prompt part is short and usually followed by a long one.
 */
const MINIMUM_LEASE = 60_000;
/** Longest lease that the store grants, in milliseconds. */
const MAXIMUM_LEASE = 600_000;
/** Milliseconds until a failed call is repeated. */
const RETRY_DELAY = 400;
/** Milliseconds between reads while entries can't reach each other. */
const DIVIDED_READ_INTERVAL = 1000;

type PendingStatement = { statement: SuspectStatement; endsAt: number };

/** Reads and writes statements until `signal` is aborted. */
export class SuspectRecords {
  readonly #store: EraCheckedStore;
  readonly #contact: StoreContact;
  readonly #clock: () => number;
  readonly #signal: AbortSignal;
  readonly #onRead: (statements: SuspectStatement[]) => void;
  /** Revision at which each key was read last. */
  #readRevisions = new Map<string, number>();
  /** The newest statement to write, by fingerprint. */
  readonly #pending = new Map<string, PendingStatement>();
  #readAt = -Infinity;
  #isReading = false;
  #isRead = false;

  constructor(
    options: {
      store: EraCheckedStore;
      contact: StoreContact;
      clock: () => number;
      signal: AbortSignal;
      onRead: (statements: SuspectStatement[]) => void;
    },
  ) {
    this.#store = options.store;
    this.#contact = options.contact;
    this.#clock = options.clock;
    this.#signal = options.signal;
    this.#onRead = options.onRead;
  }

  /** True once all statements have been read. */
  get isRead(): boolean {
    return this.#isRead;
  }

  /** Reads all statements, however often the store fails. */
  async read(): Promise<void> {
    this.#isReading = true;
    const items = await this.#repeat(() => this.#readItems());
    this.#isReading = false;
    if (items === undefined) return;
    this.#isRead = true;
    this.#readAt = this.#clock();
    this.#onRead(
      this.#takeNew(items).map(({ value }) => decodeStatement(value))
        .filter((statement) => statement !== undefined),
    );
  }

  /** Reads them again, once a second, while entries can't reach each other. */
  async readWhileDivided(): Promise<void> {
    const isDue = this.#clock() - this.#readAt >= DIVIDED_READ_INTERVAL;
    if (isDue && !this.#isReading) await this.read();
  }

  /**
   * Writes a statement, or removes the key of a request that was cleared,
   * however often the store fails. A newer statement on the same request
   * replaces one that has not been written yet.
   */
  async write(statement: SuspectStatement): Promise<void> {
    const { fingerprint, remaining } = statement;
    const pending = { statement, endsAt: this.#clock() + remaining };
    this.#pending.set(fingerprint, pending);
    await this.#repeat(async () => {
      if (this.#pending.get(fingerprint) !== pending) return true;
      return await this.#writeOnce(pending);
    });
    if (this.#pending.get(fingerprint) === pending) {
      this.#pending.delete(fingerprint);
    }
  }

  /**
   * Returns the items that have been written since the last read. A statement
   * that has ended may still be stored.
   */
  #takeNew(items: readonly StoredItem[]): StoredItem[] {
    const before = this.#readRevisions;
    this.#readRevisions = new Map(
      items.map(({ key, revision }) => [key, revision]),
    );
    return items.filter(({ key, revision }) => before.get(key) !== revision);
  }

  /** Calls until it succeeds; `undefined` if the process stops before. */
  async #repeat<Value>(
    call: () => Promise<Value | undefined>,
  ): Promise<Value | undefined> {
    while (!this.#signal.aborted) {
      const value = await call();
      if (value !== undefined) return value;
      await setTimeout(RETRY_DELAY, undefined, { signal: this.#signal })
        .catch(() => {});
    }
    return undefined;
  }

  async #readItems(): Promise<StoredItem[] | undefined> {
    const items: StoredItem[] = [];
    let after: string | undefined;
    for (;;) {
      const startedAt = this.#clock();
      const page = await this.#store
        .readPage(SUSPECT_PREFIX, after, this.#signal);
      if (page.isErr) return this.#recordFailure(page.error, startedAt);
      this.#contact.recordStoreResponse();
      items.push(...page.value.items);
      after = page.value.items.at(-1)?.key;
      if (!page.value.more || after === undefined) return items;
    }
  }

  /**
   * Resolves to true once it or a newer statement is stored, or it has ended
   * meanwhile. The condition keeps a write whose response was lost from
   * replacing a newer statement when it is executed late.
   */
  async #writeOnce(
    { statement, endsAt }: PendingStatement,
  ): Promise<true | undefined> {
    const startedAt = this.#clock();
    const remaining = Math.floor(endsAt - startedAt);
    if (remaining <= 0) return true;
    const key = SUSPECT_PREFIX + statement.fingerprint;
    const isCleared = statement.kind === "clear";
    const [lease, page] = await Promise.all([
      isCleared ? undefined : this.#store.grantLease(leaseDuration(remaining)),
      this.#store.readPage(key, undefined, this.#signal),
    ]);
    if (lease?.isErr) return this.#recordFailure(lease.error, startedAt);
    if (page.isErr) return this.#recordFailure(page.error, startedAt);
    this.#contact.recordStoreResponse();
    const { era, items } = page.value;
    if (lease !== undefined && lease.value.era !== era) return undefined;
    // The key comes first among those that begin with it.
    const stored = items.find((item) => item.key === key);
    const isOutdated = stored === undefined
      ? isCleared
      : !isNewer(statement, stored);
    if (isOutdated) return true;
    const value = JSON.stringify({ ...statement, remaining });
    const written = await this.#store.transact({
      expected: [{ key, revision: stored?.revision ?? 0 }],
      writes: lease === undefined
        ? []
        : [{ key, value, lease: lease.value.id }],
      removals: isCleared ? [key] : [],
    });
    if (written.isErr) return this.#recordFailure(written.error, startedAt);
    this.#contact.recordStoreResponse();
    // A lease of an older era may belong to another key now.
    const { kind } = written.value;
    const isValid = kind === "committed" && written.value.era === era;
    return isValid ? true : undefined;
  }

  #recordFailure(error: PlatformError, startedAt: number): undefined {
    if (this.#signal.aborted) return;
    const time = this.#clock() - startedAt;
    this.#contact.recordStoreFailure({
      error,
      prefix: SUSPECT_PREFIX,
      time,
    });
  }
}

/** Milliseconds of a lease that lasts as long as a statement, if possible. */
function leaseDuration(remaining: number): number {
  return Math.min(Math.max(remaining, MINIMUM_LEASE), MAXIMUM_LEASE);
}

/** Whether a statement replaces what is stored; unreadable values are replaced. */
function isNewer(statement: SuspectStatement, { value }: StoredItem): boolean {
  const stored = decodeStatement(value);
  return stored === undefined || supersedes(statement, stored);
}

/** Returns `undefined` for a value that no entry wrote. */
function decodeStatement(value: string): SuspectStatement | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch {
    return undefined;
  }
  const statement = v.safeParse(suspectStatementSchema, parsed);
  return statement.success ? statement.output : undefined;
}

/**
 * Keeps quarantines in the store, so that entries that are all restarted at the
 * same time refuse the same requests as before.
 *
 * Each quarantine is a key under a lease that ends with it or later. Running
 * entries share quarantines directly, so the keys are read at the start, and
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

/** Prefix of the keys of quarantines; the fingerprint follows. */
export const QUARANTINE_PREFIX = "sycamorepulley/quarantines/";
/**
 * Milliseconds for which a record is kept at least. The first quarantine of a
 * prompt part is short and usually followed by a long one.
 */
const MINIMUM_LEASE = 60_000;
/** Milliseconds until a failed call is repeated. */
const RETRY_DELAY = 400;
/** Milliseconds between reads while entries can't reach each other. */
const DIVIDED_READ_INTERVAL = 1000;

/** Reads and writes quarantines until `signal` is aborted. */
export class QuarantineRecords {
  readonly #store: EraCheckedStore;
  readonly #contact: StoreContact;
  readonly #clock: () => number;
  readonly #signal: AbortSignal;
  readonly #onRead: (statements: SuspectStatement[]) => void;
  /** Revision at which each key was read last. */
  #readRevisions = new Map<string, number>();
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

  /** True once all quarantines have been read. */
  get isRead(): boolean {
    return this.#isRead;
  }

  /** Reads all quarantines, however often the store fails. */
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

  /** Writes a quarantine, however often the store fails. */
  async write(statement: SuspectStatement): Promise<void> {
    const endsAt = this.#clock() + statement.remaining;
    await this.#repeat(() => this.#writeOnce(statement, endsAt));
  }

  /**
   * Returns the items that have been written since the last read. A quarantine
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
        .readPage(QUARANTINE_PREFIX, after, this.#signal);
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
    statement: SuspectStatement,
    endsAt: number,
  ): Promise<true | undefined> {
    const startedAt = this.#clock();
    const remaining = Math.floor(endsAt - startedAt);
    if (remaining <= 0) return true;
    const key = QUARANTINE_PREFIX + statement.fingerprint;
    const [lease, page] = await Promise.all([
      this.#store.grantLease(Math.max(remaining, MINIMUM_LEASE)),
      this.#store.readPage(key, undefined, this.#signal),
    ]);
    if (lease.isErr) return this.#recordFailure(lease.error, startedAt);
    if (page.isErr) return this.#recordFailure(page.error, startedAt);
    this.#contact.recordStoreResponse();
    if (page.value.era !== lease.value.era) return undefined;
    // The key comes first among those that begin with it.
    const stored = page.value.items.find((item) => item.key === key);
    if (stored !== undefined && !isNewer(statement, stored)) return true;
    const written = await this.#store.transact({
      expected: [{ key, revision: stored?.revision ?? 0 }],
      writes: [{
        key,
        value: JSON.stringify({ ...statement, remaining }),
        lease: lease.value.id,
      }],
      removals: [],
    });
    if (written.isErr) return this.#recordFailure(written.error, startedAt);
    this.#contact.recordStoreResponse();
    const { kind, era } = written.value;
    // A lease of an older era may belong to another key now.
    const valid = kind === "committed" && era === lease.value.era;
    return valid ? true : undefined;
  }

  #recordFailure(error: PlatformError, startedAt: number): undefined {
    if (this.#signal.aborted) return;
    const time = this.#clock() - startedAt;
    this.#contact.recordStoreFailure({
      error,
      prefix: QUARANTINE_PREFIX,
      time,
    });
  }
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
  return statement.success && statement.output.kind === "quarantined"
    ? statement.output
    : undefined;
}

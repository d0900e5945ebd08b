/**
 * Follows the keys below a prefix of the store: reads all, then watches.
 *
 * Watches are short. A connection may go silent without being closed, and a long
 * watch on it would show nothing for as long: changes of the configuration would
 * be missed. A read without an answer is given up soon and made anew on another
 * connection.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type {
  ItemChange,
  MetadataStore,
  StoredItem,
} from "@sycamorepulley/store";
import type { PlatformError } from "@sycamorepulley/store";
import { Result } from "true-myth/result";

/** Milliseconds until a failed read is made again, first and at most. */
const FIRST_BACKOFF = 100;
const LONGEST_BACKOFF = 800;

/** Takes in what the follower reads. `asOf` is the store's revision. */
export abstract class PrefixListener {
  abstract snapshot(items: readonly StoredItem[], asOf: number): void;
  abstract changes(changes: readonly ItemChange[], asOf: number): void;
  /** The store answered. */
  abstract heard(): void;
  /** A call failed, `time` milliseconds after it was sent. */
  abstract failed(error: PlatformError, time: number): void;
}

/** Runs until its signal is aborted. */
export class PrefixFollower {
  readonly #store: MetadataStore;
  readonly #prefix: string;
  readonly #listener: PrefixListener;
  readonly #wait: () => number;
  readonly #clock: () => number;

  constructor(
    options: {
      store: MetadataStore;
      prefix: string;
      listener: PrefixListener;
      /** Milliseconds that the store holds a watch; bounds a silent connection. */
      wait: () => number;
      clock: () => number;
    },
  ) {
    this.#store = options.store;
    this.#prefix = options.prefix;
    this.#listener = options.listener;
    this.#wait = options.wait;
    this.#clock = options.clock;
  }

  async run(signal: AbortSignal): Promise<void> {
    let revision: number | undefined;
    let backoff = FIRST_BACKOFF;
    while (!signal.aborted) {
      const startedAt = this.#clock();
      const next = revision === undefined
        ? await this.#readAll()
        : await this.#watch(revision);
      if (next.isOk) {
        revision = next.value;
        backoff = FIRST_BACKOFF;
        continue;
      }
      this.#listener.failed(next.error, this.#clock() - startedAt);
      await sleep(backoff, undefined, { signal }).catch(() => {});
      backoff = Math.min(LONGEST_BACKOFF, backoff * 2);
    }
  }

  async #readAll(): Promise<Result<number | undefined, PlatformError>> {
    const items: StoredItem[] = [];
    let asOf: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await this.#store.readPage(this.#prefix, after);
      if (page.isErr) return Result.err(page.error);
      this.#listener.heard();
      // Pages are no snapshot: what changed since the first one is watched for.
      asOf ??= page.value.asOf;
      items.push(...page.value.items);
      after = page.value.items.at(-1)?.key;
      if (!page.value.more || after === undefined) break;
    }
    this.#listener.snapshot(items, asOf);
    return Result.ok(asOf);
  }

  async #watch(
    revision: number,
  ): Promise<Result<number | undefined, PlatformError>> {
    const batch = await this.#store.watchPrefix({
      prefix: this.#prefix,
      after: revision,
      wait: this.#wait(),
    });
    if (batch.isErr) return Result.err(batch.error);
    this.#listener.heard();
    if (batch.value.kind === "compacted") return Result.ok(undefined);
    this.#listener.changes(batch.value.changes, batch.value.asOf);
    return Result.ok(Math.max(revision, batch.value.asOf));
  }
}

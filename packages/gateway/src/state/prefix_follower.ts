/**
 * Follows the keys below a prefix of the store: reads all, then watches.
 *
 * Watches are short. A connection may go silent without being closed, and a long
 * watch on it would show nothing for as long: changes of the configuration would
 * be missed. A call that waits while the store stops answering, or answers again,
 * may have been lost: it is made anew at once. What was missed meanwhile, or that
 * the history of it is gone, the store may tell only at the end of a watch, so
 * the first one after a call that ended early waits for nothing.
 * @module
 */
import type {
  ItemChange,
  MetadataStore,
  StoredItem,
} from "@sycamorepulley/store";
import type { PlatformError } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { pause } from "./pause.ts";
import type { StoreContact } from "./store_contact.ts";

/** Milliseconds until a failed read is made again, first and at most. */
const FIRST_BACKOFF = 100;
const LONGEST_BACKOFF = 800;
/** Milliseconds that the store is to hold a watch that catches up. */
const CATCH_UP_WAIT = 1;

/** Takes in what the follower reads. `asOf` is the store's revision. */
export abstract class PrefixListener {
  abstract snapshot(items: readonly StoredItem[], asOf: number): void;
  abstract changes(changes: readonly ItemChange[], asOf: number): void;
}

/** The revision to watch from; none while all has to be read. */
type Position = number | undefined;

/** Runs until its signal is aborted. */
export class PrefixFollower {
  readonly #store: MetadataStore;
  readonly #prefix: string;
  readonly #listener: PrefixListener;
  readonly #contact: StoreContact;
  readonly #wait: () => number;
  readonly #coalescingDelay: () => number;
  readonly #clock: () => number;
  #attempt = new AbortController();
  /** The last call ended early. */
  #behind = false;
  /** The last watch returned changes. */
  #changesReceived = false;
  /** Revision up to which all is known from elsewhere. */
  #reached: Position;

  constructor(
    options: {
      store: MetadataStore;
      prefix: string;
      listener: PrefixListener;
      contact: StoreContact;
      /** Milliseconds that the store holds a watch; bounds a silent connection. */
      wait: () => number;
      /** Milliseconds to delay the next watch after one that returned changes. */
      coalescingDelay?: () => number;
      clock: () => number;
    },
  ) {
    this.#store = options.store;
    this.#prefix = options.prefix;
    this.#listener = options.listener;
    this.#contact = options.contact;
    this.#wait = options.wait;
    this.#coalescingDelay = options.coalescingDelay ?? (() => 0);
    this.#clock = options.clock;
  }

  /**
   * States that all up to `revision` is known from elsewhere: a call under way
   * for less is given up, which matters where its answer fills a thin link.
   */
  reached(revision: number): void {
    if (revision <= (this.#reached ?? 0)) return;
    this.#reached = revision;
    this.#attempt.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    let position: Position;
    let backoff = FIRST_BACKOFF;
    while (!signal.aborted) {
      const startedAt = this.#clock();
      const attempt = new AbortController();
      this.#attempt = attempt;
      const next = await this.#call(position, attempt);
      if (next.isOk) {
        position = this.#ahead(next.value);
        backoff = FIRST_BACKOFF;
        this.#behind = false;
        await this.#delayAfterChanges(signal);
        continue;
      }
      this.#behind = true;
      position = this.#ahead(position);
      if (attempt.signal.aborted) continue;
      this.#contact.failed({
        error: next.error,
        prefix: this.#prefix,
        time: this.#clock() - startedAt,
      });
      // Ends sooner when the store answers another call.
      await pause(backoff, signal, this.#contact.turn);
      backoff = Math.min(LONGEST_BACKOFF, backoff * 2);
    }
  }

  async #delayAfterChanges(signal: AbortSignal): Promise<void> {
    const duration = this.#changesReceived ? this.#coalescingDelay() : 0;
    this.#changesReceived = false;
    if (duration > 0) await pause(duration, signal, this.#contact.turn);
  }

  /** One call; given up when the store's answering changes. */
  async #call(
    position: Position,
    attempt: AbortController,
  ): Promise<Result<Position, PlatformError>> {
    const { turn } = this.#contact;
    const giveUp = () => attempt.abort();
    turn.addEventListener("abort", giveUp);
    const next = position === undefined
      ? await this.#readAll(attempt.signal)
      : await this.#watch(position, attempt.signal);
    turn.removeEventListener("abort", giveUp);
    return next;
  }

  /** The position after what came from elsewhere, which counts once. */
  #ahead(position: Position): Position {
    const reached = this.#reached;
    this.#reached = undefined;
    if (reached === undefined) return position;
    return Math.max(position ?? 0, reached);
  }

  async #readAll(
    signal: AbortSignal,
  ): Promise<Result<Position, PlatformError>> {
    const items: StoredItem[] = [];
    let asOf: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await this.#store.readPage(this.#prefix, after, signal);
      if (page.isErr) return Result.err(page.error);
      this.#contact.heard();
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
    position: number,
    signal: AbortSignal,
  ): Promise<Result<Position, PlatformError>> {
    const batch = await this.#store.watchPrefix({
      prefix: this.#prefix,
      after: position,
      wait: this.#behind ? CATCH_UP_WAIT : this.#wait(),
      signal,
    });
    if (batch.isErr) return Result.err(batch.error);
    this.#contact.heard();
    if (batch.value.kind === "compacted") return Result.ok(undefined);
    this.#changesReceived = batch.value.changes.length > 0;
    this.#listener.changes(batch.value.changes, batch.value.asOf);
    return Result.ok(Math.max(position, batch.value.asOf));
  }
}

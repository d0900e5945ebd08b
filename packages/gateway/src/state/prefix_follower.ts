/**
 * Follows the keys below a prefix of the store: reads them all, then watches
 * them.
 *
 * Watches are short. A connection may go silent without being closed, and a
 * long watch on it would miss changes of the configuration until its end. A
 * call that is pending when the store stops responding, or responds again, may
 * have been lost, and is repeated at once. The store may report missed changes,
 * or that it has compacted its history, only at the end of a watch, so the
 * first watch after a call that ended early does not wait for changes.
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

/** Milliseconds until a failed call is repeated: the first and the maximum. */
const INITIAL_BACKOFF = 100;
const MAXIMUM_BACKOFF = 800;
/** Milliseconds that the store holds a watch that only catches up. */
const CATCH_UP_TIMEOUT = 1;

/** Receives what a follower reads. `asOf` is the store's revision. */
export abstract class PrefixListener {
  abstract onSnapshot(items: readonly StoredItem[], asOf: number): void;
  abstract onChanges(changes: readonly ItemChange[], asOf: number): void;
}

/** The revision to watch from; undefined if all keys have to be read. */
type WatchPosition = number | undefined;

/** Follows the keys below one prefix. */
export class PrefixFollower {
  readonly #store: MetadataStore;
  readonly #prefix: string;
  readonly #listener: PrefixListener;
  readonly #contact: StoreContact;
  readonly #watchTimeout: () => number;
  readonly #coalescingDelay: () => number;
  readonly #clock: () => number;
  #pendingCall = new AbortController();
  /** The last call failed or was aborted; changes may have been missed. */
  #lastCallFailed = false;
  /** The last watch returned changes. */
  #changesReceived = false;
  /** Revision up to which all changes are known from another source. */
  #knownRevision: WatchPosition;

  constructor(
    options: {
      store: MetadataStore;
      prefix: string;
      listener: PrefixListener;
      contact: StoreContact;
      /** Milliseconds that a watch is held; bounds undetected silence. */
      watchTimeout: () => number;
      /** Milliseconds until the next watch after one that returned changes. */
      coalescingDelay?: () => number;
      clock: () => number;
    },
  ) {
    this.#store = options.store;
    this.#prefix = options.prefix;
    this.#listener = options.listener;
    this.#contact = options.contact;
    this.#watchTimeout = options.watchTimeout;
    this.#coalescingDelay = options.coalescingDelay ?? (() => 0);
    this.#clock = options.clock;
  }

  /**
   * States that all changes up to `revision` are known from another source.
   * Aborts a pending call for older ones, whose response could saturate a slow
   * link.
   */
  advanceTo(revision: number): void {
    if (revision <= (this.#knownRevision ?? 0)) return;
    this.#knownRevision = revision;
    this.#pendingCall.abort();
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let position: WatchPosition;
    let backoff = INITIAL_BACKOFF;
    while (!signal.aborted) {
      const startedAt = this.#clock();
      const pendingCall = new AbortController();
      this.#pendingCall = pendingCall;
      const next = await this.#call(position, pendingCall);
      if (next.isOk) {
        position = this.#advance(next.value);
        backoff = INITIAL_BACKOFF;
        this.#lastCallFailed = false;
        await this.#delayAfterChanges(signal);
        continue;
      }
      this.#lastCallFailed = true;
      position = this.#advance(position);
      if (pendingCall.signal.aborted) continue;
      this.#contact.recordStoreFailure({
        error: next.error,
        prefix: this.#prefix,
        time: this.#clock() - startedAt,
      });
      // Ends early when the store responds to another call.
      await pause(backoff, signal, this.#contact.availabilityChange);
      backoff = Math.min(MAXIMUM_BACKOFF, backoff * 2);
    }
  }

  async #delayAfterChanges(signal: AbortSignal): Promise<void> {
    const duration = this.#changesReceived ? this.#coalescingDelay() : 0;
    this.#changesReceived = false;
    if (duration > 0) {
      await pause(duration, signal, this.#contact.availabilityChange);
    }
  }

  /** Makes one call; aborts it when the store stops responding or resumes. */
  async #call(
    position: WatchPosition,
    pendingCall: AbortController,
  ): Promise<Result<WatchPosition, PlatformError>> {
    const { availabilityChange } = this.#contact;
    const abort = () => pendingCall.abort();
    availabilityChange.addEventListener("abort", abort);
    const next = position === undefined
      ? await this.#readAll(pendingCall.signal)
      : await this.#watch(position, pendingCall.signal);
    availabilityChange.removeEventListener("abort", abort);
    return next;
  }

  /** Moves a position forward to the known revision, and clears that. */
  #advance(position: WatchPosition): WatchPosition {
    const knownRevision = this.#knownRevision;
    this.#knownRevision = undefined;
    if (knownRevision === undefined) return position;
    return Math.max(position ?? 0, knownRevision);
  }

  async #readAll(
    signal: AbortSignal,
  ): Promise<Result<WatchPosition, PlatformError>> {
    const items: StoredItem[] = [];
    let asOf: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await this.#store.readPage(this.#prefix, after, signal);
      if (page.isErr) return Result.err(page.error);
      this.#contact.recordStoreResponse();
      // Pages are no snapshot: the watch starts at the revision of the first
      // one.
      asOf ??= page.value.asOf;
      items.push(...page.value.items);
      after = page.value.items.at(-1)?.key;
      if (!page.value.more || after === undefined) break;
    }
    this.#listener.onSnapshot(items, asOf);
    return Result.ok(asOf);
  }

  async #watch(
    position: number,
    signal: AbortSignal,
  ): Promise<Result<WatchPosition, PlatformError>> {
    const batch = await this.#store.watchPrefix({
      prefix: this.#prefix,
      after: position,
      wait: this.#lastCallFailed ? CATCH_UP_TIMEOUT : this.#watchTimeout(),
      signal,
    });
    if (batch.isErr) return Result.err(batch.error);
    this.#contact.recordStoreResponse();
    if (batch.value.kind === "compacted") return Result.ok(undefined);
    this.#changesReceived = batch.value.changes.length > 0;
    this.#listener.onChanges(batch.value.changes, batch.value.asOf);
    return Result.ok(Math.max(position, batch.value.asOf));
  }
}

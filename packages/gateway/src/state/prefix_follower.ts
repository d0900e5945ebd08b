/**
 * Follows the keys below a prefix of the store: reads them all, then watches
 * them.
 *
 * Watches are short. A connection may go silent without being closed, and a
 * long watch on it would miss changes of the configuration until its end. A
 * call that is pending when the store stops responding, or responds again, may
 * have been lost, and is repeated at once. The store may report missed changes,
 * or that it has compacted its history, only at the end of a watch, so the
 * first watch after a call that ended early does not wait for changes. When the
 * store has been restored from a copy, everything is read again. Calls
 * that return early without changes are spaced by growing pauses.
 * @module
 */
import { isLater, laterOf } from "@sycamorepulley/decisions";
import type { StorePosition } from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import type { PlatformError } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { CallPacing } from "./call_pacing.ts";
import type { EraCheckedStore } from "./era_checked_store.ts";
import { pause } from "./pause.ts";
import type { StoreContact } from "./store_contact.ts";

/** Milliseconds until a failed call is repeated: the first and the maximum. */
const INITIAL_BACKOFF = 100;
const MAXIMUM_BACKOFF = 800;
/** Milliseconds that the store holds a watch that only catches up. */
const CATCH_UP_TIMEOUT = 1;

/** Receives what a follower reads. */
export abstract class PrefixListener {
  abstract onSnapshot(items: readonly StoredItem[], asOf: StorePosition): void;
  /** `era` is the one that all changes belong to. */
  abstract onChanges(changes: readonly ItemChange[], era: number): void;
}

/** The position to watch from; undefined if all keys have to be read. */
type WatchPosition = StorePosition | undefined;

/** Follows the keys below one prefix. */
export class PrefixFollower {
  readonly #store: EraCheckedStore;
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
  /** Position up to which all changes are known from another source. */
  #knownPosition: WatchPosition;
  readonly #pacing = new CallPacing();

  constructor(
    options: {
      store: EraCheckedStore;
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
   * States that all changes up to `position` are known from another source.
   * Aborts a pending call for older ones, whose response could saturate a slow
   * link.
   */
  advanceTo(position: StorePosition): void {
    const known = this.#knownPosition;
    if (known !== undefined && !isLater(position, known)) return;
    this.#knownPosition = position;
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
        const duration = this.#clock() - startedAt;
        await this.#delayAfter({ position: next.value, duration }, signal);
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

  async #delayAfter(
    call: { position: WatchPosition; duration: number },
    signal: AbortSignal,
  ): Promise<void> {
    const coalescing = this.#changesReceived ? this.#coalescingDelay() : 0;
    this.#changesReceived = false;
    const duration = Math.max(coalescing, this.#pacing.delayAfter(call));
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

  /**
   * Moves a position forward to the known one, and clears that. A position from
   * before a restore of the store is none.
   */
  #advance(position: WatchPosition): WatchPosition {
    const known = this.#knownPosition;
    this.#knownPosition = undefined;
    const advanced = known === undefined
      ? position
      : laterOf(position ?? known, known);
    return advanced?.era === this.#contact.era ? advanced : undefined;
  }

  async #readAll(
    signal: AbortSignal,
  ): Promise<Result<WatchPosition, PlatformError>> {
    const items: StoredItem[] = [];
    let asOf: WatchPosition;
    let after: string | undefined;
    for (;;) {
      const page = await this.#store.readPage(this.#prefix, after, signal);
      if (page.isErr) return Result.err(page.error);
      this.#contact.recordStoreResponse();
      const { era, asOf: revision } = page.value;
      // Pages are no snapshot: the watch starts at the revision of the first
      // one.
      asOf ??= { era, revision };
      if (era !== asOf.era) return Result.ok(undefined);
      items.push(...page.value.items);
      after = page.value.items.at(-1)?.key;
      if (!page.value.more || after === undefined) break;
    }
    this.#listener.onSnapshot(items, asOf);
    return Result.ok(asOf);
  }

  async #watch(
    position: StorePosition,
    signal: AbortSignal,
  ): Promise<Result<WatchPosition, PlatformError>> {
    const batch = await this.#store.watchPrefix({
      prefix: this.#prefix,
      after: position.revision,
      wait: this.#lastCallFailed ? CATCH_UP_TIMEOUT : this.#watchTimeout(),
      signal,
    });
    if (batch.isErr) return Result.err(batch.error);
    this.#contact.recordStoreResponse();
    const { era } = batch.value;
    // The new history may have reached the revision that was watched from.
    if (era !== position.era || batch.value.kind === "compacted") {
      return Result.ok(undefined);
    }
    this.#changesReceived = batch.value.changes.length > 0;
    this.#listener.onChanges(batch.value.changes, era);
    const revision = Math.max(position.revision, batch.value.asOf);
    return Result.ok({ era, revision });
  }
}

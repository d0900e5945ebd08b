/**
 * Whether the store responds to this process, and its newest known era.
 *
 * A call that the store accepted just before it went silent never gets a
 * response, and watches wait longest for theirs. So pending calls are notified
 * when the store stops responding and when it responds again, and are then
 * repeated. They are notified of a restore as well, as they build on what may
 * have been lost.
 * @module
 */
import type { PlatformError } from "@sycamorepulley/store";
import type { EventLog } from "../observe/event_log.ts";

/** Milliseconds without a response after which a failure means a lost store. */
const LOST_AFTER = 1000;

/** A call to the store that failed. */
export type FailedCall = {
  error: PlatformError;
  /** Prefix that was read or watched; empty for calls about a lease. */
  prefix: string;
  /** Milliseconds from the start of the call until it failed. */
  time: number;
};

/** Notified of the outcome of each call; `now` in milliseconds. */
export abstract class ContactListener {
  abstract recordStoreResponse(now: number): void;
  abstract recordStoreFailure(): void;
}

/** Called after a restore of the store from an older copy; `now` as above. */
export type RestoreCallback = (now: number) => void;

/** Collects the outcomes of all calls to the store. */
export class StoreContact {
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #listeners: ContactListener[] = [];
  readonly #restoreCallbacks: RestoreCallback[] = [];
  #lastResponseAt: number;
  #hasResponded = false;
  #failing = false;
  #lost = false;
  #era: number | undefined;
  #availabilityChange = new AbortController();

  constructor(options: { log: EventLog; clock: () => number }) {
    this.#log = options.log;
    this.#clock = options.clock;
    this.#lastResponseAt = options.clock();
  }

  /** Milliseconds since the last response; `undefined` before the first one. */
  get age(): number | undefined {
    return this.#hasResponded
      ? this.#clock() - this.#lastResponseAt
      : undefined;
  }

  /**
   * Newest era of the store that a response or a peer has stated; `undefined`
   * before the first one.
   */
  get era(): number | undefined {
    return this.#era;
  }

  /**
   * Aborted when the store stops responding, when it responds again and when it
   * has been restored.
   */
  get availabilityChange(): AbortSignal {
    return this.#availabilityChange.signal;
  }

  /** Records an era that the store or a peer, `from`, has stated. */
  recordEra(era: number, from: string): void {
    const before = this.#era;
    if (before !== undefined && era <= before) return;
    this.#era = era;
    if (before === undefined) return;
    this.#log.write({ event: "store_restored", era, before, from });
    const now = this.#clock();
    for (const callback of this.#restoreCallbacks) callback(now);
    this.#notifyPendingCalls();
  }

  addListener(listener: ContactListener): void {
    this.#listeners.push(listener);
  }

  onRestore(callback: RestoreCallback): void {
    this.#restoreCallbacks.push(callback);
  }

  recordStoreResponse(): void {
    const now = this.#clock();
    this.#lastResponseAt = now;
    this.#hasResponded = true;
    for (const listener of this.#listeners) listener.recordStoreResponse(now);
    if (this.#lost) {
      this.#log.write({ event: "dependency_regained", dependency: "store" });
    }
    this.#lost = false;
    this.#setFailing(false);
  }

  recordStoreFailure({ error, prefix, time }: FailedCall): void {
    const { step, reason, detail } = error;
    for (const listener of this.#listeners) listener.recordStoreFailure();
    this.#log.write({
      event: "store_call_failed",
      step,
      prefix,
      reason,
      detail,
      time: Math.round(time),
    });
    this.#setFailing(true);
    const silence = this.#clock() - this.#lastResponseAt;
    if (this.#lost || silence < LOST_AFTER) return;
    this.#lost = true;
    this.#log.write({
      event: "dependency_lost",
      dependency: "store",
      detail: `${step}: ${reason}: ${detail}`,
      silence: Math.round(silence),
    });
  }

  #setFailing(failing: boolean): void {
    if (failing === this.#failing) return;
    this.#failing = failing;
    this.#notifyPendingCalls();
  }

  #notifyPendingCalls(): void {
    const ended = this.#availabilityChange;
    this.#availabilityChange = new AbortController();
    ended.abort();
  }
}

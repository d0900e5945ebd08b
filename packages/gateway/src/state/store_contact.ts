/**
 * Whether the store answers this process.
 *
 * A call that the store took just before it fell silent is never answered, and a
 * watch is waited for longest of all. So whoever waits for the store is told when
 * it stops answering and when it answers again, and makes its call anew.
 * @module
 */
import type { PlatformError } from "@sycamorepulley/store";
import type { EventLog } from "../observe/event_log.ts";

/** Milliseconds of failed calls after which the store counts as lost. */
const LOST_AFTER = 1000;

/** A call to the store that failed. */
export type FailedCall = {
  error: PlatformError;
  /** What was read or followed; empty for calls about the entry's lease. */
  prefix: string;
  /** Milliseconds from its sending until it was given up. */
  time: number;
};

/** Hears of every call's end; `now` in milliseconds. */
export abstract class ContactListener {
  abstract recordStoreResponse(now: number): void;
  abstract recordStoreFailure(): void;
}

/** See the module. */
export class StoreContact {
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #listeners: ContactListener[] = [];
  #heardAt: number;
  #failing = false;
  #lost = false;
  #turn = new AbortController();

  constructor(options: { log: EventLog; clock: () => number }) {
    this.#log = options.log;
    this.#clock = options.clock;
    this.#heardAt = options.clock();
  }

  /** Aborted when the store stops answering, and when it answers again. */
  get turn(): AbortSignal {
    return this.#turn.signal;
  }

  listen(listener: ContactListener): void {
    this.#listeners.push(listener);
  }

  /** The store answered a call. */
  heard(): void {
    const now = this.#clock();
    this.#heardAt = now;
    for (const listener of this.#listeners) listener.recordStoreResponse(now);
    if (this.#lost) {
      this.#log.write({ event: "dependency_regained", dependency: "store" });
    }
    this.#lost = false;
    this.#change(false);
  }

  /** A call to the store failed. */
  failed({ error, prefix, time }: FailedCall): void {
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
    this.#change(true);
    const silence = this.#clock() - this.#heardAt;
    if (this.#lost || silence < LOST_AFTER) return;
    this.#lost = true;
    this.#log.write({
      event: "dependency_lost",
      dependency: "store",
      detail: `${step}: ${reason}: ${detail}`,
      silence: Math.round(silence),
    });
  }

  #change(failing: boolean): void {
    if (failing === this.#failing) return;
    this.#failing = failing;
    const ended = this.#turn;
    this.#turn = new AbortController();
    ended.abort();
  }
}

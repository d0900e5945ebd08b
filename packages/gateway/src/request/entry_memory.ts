/**
 * The memory of an entry: counts what it holds for callers and servers, and
 * pauses and resumes responses as {@link MemoryBudget} decides.
 * @module
 */
import { MemoryBudget, memoryBudgetBytes } from "@sycamorepulley/decisions";
import type { UnreadResponse } from "@sycamorepulley/decisions";
import { processMemory, RequestMemory } from "@sycamorepulley/receiving";
import type { HeldBody } from "@sycamorepulley/receiving";
import type { EventLog } from "../observe/event_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";

/**
 * Milliseconds between checks of the paused responses, a small part of the
 * shortest stall timeout of a server.
 */
const CHECK_INTERVAL = 50;
/**
 * Milliseconds after which a caller that was refused for lack of memory may
 * return, plus up to as many again, so that the callers don't return together.
 * What slow callers hold is released at their deadlines, some seconds later.
 */
const RETRY_AFTER = 500;

/** What the memory of an entry needs besides its size. */
type EntryMemoryOptions = {
  clock: () => number;
  random: () => number;
  log: EventLog;
  metrics: GatewayMetrics;
};

/**
 * The memory of an entry. `memoryMegabytes`: the limit of the process; if absent,
 * responses are bounded one by one.
 */
export function createEntryMemory(
  memoryMegabytes: number | undefined,
  options: EntryMemoryOptions,
): EntryMemory {
  const bytes = memoryBudgetBytes(processMemory(memoryMegabytes));
  return new EntryMemory(bytes, {
    ...options,
    boundsResponses: memoryMegabytes !== undefined,
  });
}

/** Counts what the entry holds, and decides which responses are read. */
export class EntryMemory {
  /** Whether responses share the budget; otherwise each has its own bound. */
  readonly boundsResponses: boolean;
  readonly #budget: MemoryBudget;
  readonly #requests: RequestMemory;
  readonly #clock: () => number;
  readonly #random: () => number;
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  readonly #streams = new Map<UnreadResponse, HeldStream>();
  #timer: NodeJS.Timeout | undefined;

  /** `bytes`: of the budget. */
  constructor(
    bytes: number,
    options: EntryMemoryOptions & { boundsResponses: boolean },
  ) {
    this.boundsResponses = options.boundsResponses;
    this.#budget = new MemoryBudget(bytes);
    this.#requests = new RequestMemory({
      budget: this.#budget,
      clock: options.clock,
      onChange: () => this.#logChange(),
    });
    this.#clock = options.clock;
    this.#random = options.random;
    this.#log = options.log;
    this.#metrics = options.metrics;
  }

  updateGauges(): void {
    const { held, budget, paused } = this.#budget.use;
    this.#metrics.memoryHeld.set(held);
    this.#metrics.memoryBudget.set(budget);
    this.#metrics.pausedResponses.set(paused);
  }

  /** Milliseconds after which a refused caller may return. */
  retryAfter(): number {
    return RETRY_AFTER * (1 + this.#random());
  }

  /** Starts to count bytes that can't be paused; see {@link HeldBytes}. */
  openBytes(): HeldBytes {
    return new HeldBytes((bytes) => this.#addUnpausable(bytes));
  }

  /** Starts to count the body of a request. */
  openBody(): HeldBody {
    return this.#requests.openBody();
  }

  /** Starts to count the unread events of a response. */
  openStream(service: string): HeldStream {
    const response = this.#budget.open(service);
    const stream = new HeldStream({
      update: (unread) => this.#update(response, unread),
      recordTaken: (unread) => this.#recordTaken(response, unread),
      endReading: () => this.#budget.endReading(response, this.#clock()),
      recordBreak: () => this.#recordBreak(response),
      close: () => this.#close(response),
    });
    this.#streams.set(response, stream);
    return stream;
  }

  #addUnpausable(bytes: number): void {
    this.#budget.addUnpausable(bytes);
    this.#logChange();
  }

  #update(response: UnreadResponse, unread: number): boolean {
    const mayRead = this.#budget.update(response, unread, this.#clock());
    if (!mayRead) this.#timer ??= this.#startChecks();
    this.#logChange();
    return mayRead;
  }

  #recordTaken(response: UnreadResponse, unread: number): boolean {
    const mayResume = this.#budget.recordTaken(response, unread, this.#clock());
    this.#logChange();
    return mayResume;
  }

  #recordBreak(response: UnreadResponse): void {
    if (!this.#budget.recordBreak(response, this.#clock())) return;
    this.#metrics.responsesCutOffWhilePaused.inc({
      service: response.service,
    });
  }

  #close(response: UnreadResponse): void {
    this.#streams.delete(response);
    this.#budget.close(response, this.#clock());
    this.#logChange();
  }

  #startChecks(): NodeJS.Timeout {
    return setInterval(() => this.#check(), CHECK_INTERVAL).unref();
  }

  #check(): void {
    for (const response of this.#budget.takeReadable(this.#clock())) {
      this.#streams.get(response)?.resume();
    }
    if (this.#budget.use.paused > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #logChange(): void {
    const change = this.#budget.takeChange();
    if (change === undefined) return;
    this.#log.write({ event: `memory_${change}`, ...this.#budget.use });
  }
}

/** Bytes that an entry holds until they are released; they can't be paused. */
export class HeldBytes {
  readonly #add: (bytes: number) => void;
  #bytes = 0;
  #released = false;

  constructor(add: (bytes: number) => void) {
    this.#add = add;
  }

  /** States how many bytes are held, whatever the budget. */
  set(bytes: number): void {
    if (this.#released || bytes === this.#bytes) return;
    this.#add(bytes - this.#bytes);
    this.#bytes = bytes;
  }

  release(): void {
    this.set(0);
    this.#released = true;
  }
}

/** What a held stream needs of the memory that it belongs to. */
type HeldStreamHooks = {
  update: (unread: number) => boolean;
  recordTaken: (unread: number) => boolean;
  endReading: () => void;
  recordBreak: () => void;
  close: () => void;
};

/** The unread events of one response. */
export class HeldStream {
  readonly #hooks: HeldStreamHooks;
  #onResume: (() => void) | undefined;
  #closed = false;

  constructor(hooks: HeldStreamHooks) {
    this.#hooks = hooks;
  }

  /**
   * States how many bytes the caller has not taken. Returns false if the server
   * is not to be read until the action of {@link onceResumed} is called.
   */
  update(unread: number): boolean {
    return this.#closed || this.#hooks.update(unread);
  }

  /** States that the caller has taken some; it has not taken `unread` bytes. */
  recordTaken(unread: number): void {
    if (!this.#closed && this.#hooks.recordTaken(unread)) this.resume();
  }

  /** Calls `action` once when the server may be read again. */
  onceResumed(action: () => void): void {
    this.#onResume = action;
  }

  resume(): void {
    const action = this.#onResume;
    this.#onResume = undefined;
    action?.();
  }

  /** States that the server sends nothing more. */
  endReading(): void {
    if (!this.#closed) this.#hooks.endReading();
  }

  /** States that the connection of the server broke. */
  recordBreak(): void {
    if (!this.#closed) this.#hooks.recordBreak();
  }

  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#hooks.close();
  }
}

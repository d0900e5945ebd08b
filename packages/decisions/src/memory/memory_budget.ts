/**
 * Divides the memory of an entry among what it holds for callers and servers:
 * unread events of streams, request bodies, and responses that are not complete
 * or wait for their callers.
 *
 * Load condition addressed: many callers read slowly at the same time, while
 * servers cut off responses that stay unread.
 *
 * The limit of a response falls as the room shrinks, so that the response that
 * holds most reaches it first. This is the dynamic threshold of shared-memory
 * switches (Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2),
 * 1998).
 * @module
 */
import { StallTimeouts } from "./stall_timeouts.ts";

/** Bytes that each response may hold however short the budget is. */
const ALWAYS_ALLOWED_BYTES = 16 * 1024;
/** Bytes of one read, which a paused connection holds in addition. */
const READ_BYTES = 64 * 1024;
/**
 * The part of the budget that is open to unread events. The rest is for what
 * can't be paused, so that a few slow callers alone cause no refusals.
 */
const UNREAD_FRACTION = 0.75;
/** The part of its limit below which a paused response is read again. */
const RESUME_FRACTION = 0.5;
/**
 * The part of a server's stall timeout after which a paused response is read.
 * The rest covers the checks' interval and an entry that is short of processor
 * time.
 */
const READ_AHEAD_FRACTION = 0.5;
/**
 * The part of the unread events' budget below which an exhausted budget counts
 * as available again.
 */
const AVAILABLE_FRACTION = 0.9;
/**
 * Milliseconds after a pause in which a broken response counts as cut off during
 * the pause: the bytes before the end of the connection are read first.
 */
const CUT_OFF_WINDOW = 1000;

/**
 * Bytes that the process needs itself. Beside 200 streams of large events it
 * was resident with 167 besides what it held: 46 for code and libraries, 33 of
 * heap, and the rest buffers that were read, passed on and not yet collected.
 * The heap may grow to 122.
 */
const BASE_BYTES = 200_000_000;
/**
 * Lower bound of the budget as a fraction of the process limit. With less, the
 * usual requests of a small entry would be refused in a burst.
 */
const MINIMUM_BUDGET_FRACTION = 0.25;
/** Bytes of the budget of an entry whose process may use so many bytes. */
export function memoryBudgetBytes(processMemory: number): number {
  return Math.max(
    MINIMUM_BUDGET_FRACTION * processMemory,
    processMemory - BASE_BYTES,
  );
}

/** A pause that has ended; in milliseconds. */
type EndedPause = { endedAt: number; duration: number };

/** The unread events of one response. */
export type UnreadResponse = {
  readonly service: string;
  /** Bytes that were read from the server and not yet taken by the caller. */
  unread: number;
  /** Bytes up to which it is read although its limit is lower. */
  allowance: number;
  /** The server sends nothing more. */
  hasEnded: boolean;
  pausedSince: number | undefined;
  lastPause: EndedPause | undefined;
};

/** How the budget is used, in bytes; `paused` is a number of responses. */
export type MemoryUse = { held: number; budget: number; paused: number };

/** Decides which responses are read, and whether a request is admitted. */
export class MemoryBudget {
  readonly #bytes: number;
  readonly #unreadBytes: number;
  readonly #stallTimeouts = new StallTimeouts();
  readonly #paused = new Set<UnreadResponse>();
  #held = 0;
  #responses = 0;
  #exhausted = false;

  /** `bytes`: of the whole budget. */
  constructor(bytes: number) {
    this.#bytes = bytes;
    this.#unreadBytes = bytes * UNREAD_FRACTION;
  }

  get use(): MemoryUse {
    const paused = this.#paused.size;
    return { held: this.#heldBytes, budget: this.#bytes, paused };
  }

  /** Whether so many bytes more fit into a part of the budget. */
  admits(bytes: number, fraction = 1): boolean {
    return this.#heldBytes + bytes <= this.#bytes * fraction;
  }

  /** Adds bytes that can't be paused; negative if they are released. */
  addUnpausable(bytes: number): void {
    this.#held += bytes;
  }

  /** Starts to count a response; every one must be closed. */
  open(service: string): UnreadResponse {
    this.#responses++;
    return {
      service,
      unread: 0,
      allowance: 0,
      hasEnded: false,
      pausedSince: undefined,
      lastPause: undefined,
    };
  }

  close(response: UnreadResponse, now: number): void {
    this.endReading(response, now);
    this.#held -= response.unread;
  }

  /**
   * Records how many bytes the caller has not taken. Returns whether the
   * response may be read from its server.
   */
  update(response: UnreadResponse, unread: number, now: number): boolean {
    this.#held += unread - response.unread;
    response.unread = unread;
    if (response.pausedSince !== undefined) return false;
    if (this.#mayRead(response)) return true;
    this.#pause(response, now);
    return false;
  }

  /**
   * Records that the caller has taken some of the bytes. Returns true if a
   * paused response is read again from now on.
   */
  recordTaken(response: UnreadResponse, unread: number, now: number): boolean {
    this.#held += unread - response.unread;
    response.unread = unread;
    if (response.pausedSince === undefined) return false;
    if (!this.#mayResume(response)) return false;
    this.#resume(response, now);
    return true;
  }

  /** Records that the server sends nothing more of the response. */
  endReading(response: UnreadResponse, now: number): void {
    if (response.pausedSince !== undefined) this.#resume(response, now);
    if (response.hasEnded) return;
    response.hasEnded = true;
    this.#responses--;
  }

  /**
   * Returns the paused responses that are read from now on: those below their
   * limit, and those that their servers would cut off soon while there is room.
   * The latter share the room equally.
   */
  takeReadable(now: number): UnreadResponse[] {
    const paused = [...this.#paused]
      .sort((left, right) => left.unread - right.unread);
    const part = Math.max(READ_BYTES, this.#room / paused.length);
    let room = this.#room;
    const readable: UnreadResponse[] = [];
    for (const response of paused) {
      const isDue = room > 0 && this.#isDue(response, now);
      if (!isDue && !this.#mayResume(response)) continue;
      if (isDue) {
        response.allowance = response.unread + part;
        room -= part;
      }
      this.#resume(response, now);
      readable.push(response);
    }
    return readable;
  }

  /**
   * Records that the connection of a response broke. Returns true if its server
   * has cut it off because it was not read.
   */
  recordBreak(response: UnreadResponse, now: number): boolean {
    const paused = pauseBeforeBreak(response, now);
    if (paused === undefined) return false;
    this.#stallTimeouts.recordCutOff(response.service, paused, now);
    return true;
  }

  /**
   * Returns "exhausted" once no more unread events fit, and "available" once
   * they do again; `undefined` if nothing has changed since the last call.
   */
  takeChange(): "exhausted" | "available" | undefined {
    const held = this.#heldBytes;
    if (!this.#exhausted && held >= this.#unreadBytes) {
      this.#exhausted = true;
      return "exhausted";
    }
    if (this.#exhausted && held < this.#unreadBytes * AVAILABLE_FRACTION) {
      this.#exhausted = false;
      return "available";
    }
    return undefined;
  }

  get #heldBytes(): number {
    return this.#held + this.#paused.size * READ_BYTES;
  }

  /**
   * Bytes of unread events that still fit beside one read of each response;
   * negative if there are too many.
   */
  get #room(): number {
    return this.#unreadBytes - this.#held - this.#responses * READ_BYTES;
  }

  /** Bytes that any response may hold. */
  get #limit(): number {
    if (this.#room <= 0) return ALWAYS_ALLOWED_BYTES;
    const equalPart = this.#unreadBytes / Math.max(1, this.#responses) -
      READ_BYTES;
    return Math.max(ALWAYS_ALLOWED_BYTES, equalPart, this.#room);
  }

  #mayRead({ unread, allowance }: UnreadResponse): boolean {
    if (unread < this.#limit) return true;
    return this.#room > 0 && unread < allowance;
  }

  #mayResume({ unread }: UnreadResponse): boolean {
    return unread <= this.#limit * RESUME_FRACTION;
  }

  /** Whether a paused response must be read lest its server cut it off. */
  #isDue(response: UnreadResponse, now: number): boolean {
    const paused = now - (response.pausedSince ?? now);
    const timeout = this.#stallTimeouts.of(response.service, now);
    return paused >= timeout * READ_AHEAD_FRACTION;
  }

  #pause(response: UnreadResponse, now: number): void {
    response.pausedSince = now;
    response.allowance = 0;
    this.#paused.add(response);
  }

  #resume(response: UnreadResponse, now: number): void {
    const duration = now - (response.pausedSince ?? now);
    response.lastPause = { endedAt: now, duration };
    response.pausedSince = undefined;
    this.#paused.delete(response);
  }
}

/** Milliseconds of the pause in which a broken response was cut off. */
function pauseBeforeBreak(
  { pausedSince, lastPause }: UnreadResponse,
  now: number,
): number | undefined {
  if (pausedSince !== undefined) return now - pausedSince;
  if (lastPause === undefined) return undefined;
  const isRecent = now - lastPause.endedAt <= CUT_OFF_WINDOW;
  return isRecent ? lastPause.duration : undefined;
}

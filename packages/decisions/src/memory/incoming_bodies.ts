/**
 * Divides the memory budget among the bodies of requests while they arrive.
 *
 * Load condition addressed: many clients hold large bodies open, or send them in
 * chunks without a stated length, and most never finish. The memory of a body is
 * reserved as a whole before it is received, so that those that were admitted
 * can be completed; a body that makes no progress loses it to others.
 * @module
 */
import type { MemoryBudget } from "./memory_budget.ts";

/** Bytes of a body up to which it may use the whole budget. */
const SMALL_BODY_BYTES = 64 * 1024;
/** The part of the budget that is open to larger bodies. */
const LARGE_BODIES_FRACTION = 0.75;
/** Milliseconds without progress after which a body may lose its memory. */
const STALL_TIME = 1000;
/** Bytes that have to arrive to count as progress. */
const PROGRESS_BYTES = 16 * 1024;

/** A body whose memory counts. */
export type IncomingBody = {
  /** Bytes reserved in the budget. */
  reserved: number;
  /** Bytes received at the last progress, and when that was. */
  progress: number;
  progressAt: number;
  /** Called if it loses its memory before it is complete. */
  readonly onEvicted: () => void;
};

/** Decides which bodies are received. */
export class IncomingBodies {
  readonly #budget: MemoryBudget;
  /** Bodies that are not complete, the last progress of the first oldest. */
  readonly #incomplete = new Set<IncomingBody>();
  /** Number of bodies that are not small, complete or not. */
  #largeBodies = 0;

  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  /** Starts to count a body; every one must be closed. */
  open(onEvicted: () => void, now: number): IncomingBody {
    const body = { reserved: 0, progress: 0, progressAt: now, onEvicted };
    this.#incomplete.add(body);
    return body;
  }

  /**
   * Raises what is reserved for a body to so many bytes. Returns false if there
   * is no room, even without the bodies that make no progress.
   */
  reserve(body: IncomingBody, bytes: number, now: number): boolean {
    const missing = bytes - body.reserved;
    if (missing <= 0) return true;
    if (!this.#evictUntilAdmitted(body, bytes, now)) return false;
    this.#resize(body, bytes);
    return true;
  }

  /** Records how many bytes of a body have been received so far. */
  recordReceived(body: IncomingBody, bytes: number, now: number): void {
    if (bytes < body.progress + PROGRESS_BYTES) return;
    body.progress = bytes;
    body.progressAt = now;
    if (this.#incomplete.delete(body)) this.#incomplete.add(body);
  }

  /** Records that a body is complete and needs so many bytes from now on. */
  complete(body: IncomingBody, bytes: number): void {
    this.#incomplete.delete(body);
    this.#resize(body, bytes);
  }

  close(body: IncomingBody): void {
    this.#incomplete.delete(body);
    this.#resize(body, 0);
  }

  #evictUntilAdmitted(
    body: IncomingBody,
    bytes: number,
    now: number,
  ): boolean {
    if (this.#admits(body, bytes)) return true;
    for (const victim of this.#incomplete) {
      if (now - victim.progressAt < STALL_TIME) return false;
      if (victim === body) continue;
      this.close(victim);
      victim.onEvicted();
      if (this.#admits(body, bytes)) return true;
    }
    return false;
  }

  /** A large body may use the whole budget only if it is the only one. */
  #admits(body: IncomingBody, bytes: number): boolean {
    const others = this.#largeBodies - (isLarge(body.reserved) ? 1 : 0);
    const isShared = isLarge(bytes) && others > 0;
    return this.#budget.admits(
      bytes - body.reserved,
      isShared ? LARGE_BODIES_FRACTION : 1,
    );
  }

  #resize(body: IncomingBody, bytes: number): void {
    this.#largeBodies += Number(isLarge(bytes)) -
      Number(isLarge(body.reserved));
    this.#budget.addUnpausable(bytes - body.reserved);
    body.reserved = bytes;
  }
}

/** Bytes to reserve for a body of unknown length that has `received` bytes. */
export function reservationOf(received: number, maximum: number): number {
  return isLarge(received) ? Math.max(received, maximum) : received;
}

function isLarge(bytes: number): boolean {
  return bytes > SMALL_BODY_BYTES;
}

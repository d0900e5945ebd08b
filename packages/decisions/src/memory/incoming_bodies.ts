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
/** Bytes of memory for the smallest body of unknown length. */
const MINIMUM_CAPACITY = 256;
/** The part of the budget up to which larger bodies are admitted. */
const LARGE_BODIES_FRACTION = 0.5;
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
   * Raises what is reserved for a body to so many bytes. Returns false if they
   * don't fit, even without the bodies that make no progress.
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
      victim.onEvicted();
      this.close(victim);
      if (this.#admits(body, bytes)) return true;
    }
    return false;
  }

  /** A large body may use the whole budget only if it is the only one. */
  #admits(body: IncomingBody, bytes: number): boolean {
    const others = this.#largeBodies - (isLargeBody(body.reserved) ? 1 : 0);
    const isShared = isLargeBody(bytes) && others > 0;
    return this.#budget.admits(
      bytes - body.reserved,
      isShared ? LARGE_BODIES_FRACTION : 1,
    );
  }

  #resize(body: IncomingBody, bytes: number): void {
    this.#largeBodies += Number(isLargeBody(bytes)) -
      Number(isLargeBody(body.reserved));
    this.#budget.addUnpausable(bytes - body.reserved);
    body.reserved = bytes;
  }
}

/**
 * Bytes of memory for a body of which `received` bytes are known. Without a
 * stated length, a large body gets as much as it may become, so that it is
 * refused early if it is.
 */
export function bodyCapacity(
  received: number,
  stated: number | undefined,
  maximum: number,
): number {
  if (stated !== undefined) return stated;
  if (isLargeBody(received)) return Math.max(received, maximum);
  return Math.max(MINIMUM_CAPACITY, 2 ** Math.ceil(Math.log2(received)));
}

/** True for a body that leaves a part of the budget to smaller ones. */
export function isLargeBody(bytes: number): boolean {
  return bytes > SMALL_BODY_BYTES;
}

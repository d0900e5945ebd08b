/** The memory for the bodies of requests. @module */
import { IncomingBodies, isLargeBody } from "@sycamorepulley/decisions";
import type { IncomingBody, MemoryBudget } from "@sycamorepulley/decisions";
import { BufferCollection } from "./buffer_collection.ts";

/** Options of {@link RequestMemory}. */
export type RequestMemoryOptions = {
  budget: MemoryBudget;
  clock: () => number;
  /** Called when what is reserved may have changed. */
  onChange?: () => void;
};

/** Opens bodies within one budget. */
export class RequestMemory {
  readonly #bodies: IncomingBodies;
  readonly #collection: BufferCollection;
  readonly #clock: () => number;
  readonly #onChange: () => void;

  constructor({ budget, clock, onChange = () => {} }: RequestMemoryOptions) {
    this.#bodies = new IncomingBodies(budget);
    this.#collection = new BufferCollection(budget.use.budget);
    this.#clock = clock;
    this.#onChange = onChange;
  }

  /** Starts to count the body of a request, which must be released. */
  openBody(): HeldBody {
    return new HeldBody({
      bodies: this.#bodies,
      collection: this.#collection,
      clock: this.#clock,
      onChange: this.#onChange,
    });
  }
}

type HeldBodyOptions = {
  bodies: IncomingBodies;
  collection: BufferCollection;
  clock: () => number;
  onChange: () => void;
};

/** Reserves memory for a body while it arrives, and until it is released. */
export class HeldBody {
  readonly #bodies: IncomingBodies;
  readonly #collection: BufferCollection;
  readonly #clock: () => number;
  readonly #onChange: () => void;
  readonly #body: IncomingBody;
  /** Bytes of chunks that were copied and are not recorded as unused. */
  #copied = 0;
  #isComplete = false;
  #onEvicted = () => {};
  #isReleased = false;

  constructor({ bodies, collection, clock, onChange }: HeldBodyOptions) {
    this.#bodies = bodies;
    this.#collection = collection;
    this.#clock = clock;
    this.#onChange = onChange;
    this.#body = bodies.open(() => this.#evict(), clock());
  }

  /** Calls `action` if the body loses its memory before it is complete. */
  onEvicted(action: () => void): void {
    this.#onEvicted = action;
  }

  /** Reserves memory for a whole body of a stated length, in bytes. */
  reserveStated(bytes: number): boolean {
    // A request without a body needs memory too.
    return this.#reserve(Math.max(1, bytes));
  }

  /**
   * Records that a chunk was received, with which the body is `length` bytes
   * long and needs `memory` bytes. Returns false if they don't fit.
   */
  recordReceived(chunk: number, length: number, memory: number): boolean {
    if (this.#isReleased) return false;
    const body = this.#body;
    this.#bodies.recordReceived(body, length, this.#clock());
    this.#copied += chunk;
    if (isLargeBody(body.reserved)) this.#recordCopied();
    return memory <= body.reserved || this.#reserve(memory);
  }

  /** Records that the body is complete and needs so many bytes. */
  complete(memory: number): void {
    if (this.#isReleased) return;
    this.#isComplete = true;
    this.#bodies.complete(this.#body, memory);
    this.#onChange();
  }

  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#recordUnused();
    this.#bodies.close(this.#body);
    this.#onChange();
  }

  #reserve(bytes: number): boolean {
    if (this.#isReleased) return false;
    const isReserved = this.#bodies.reserve(this.#body, bytes, this.#clock());
    this.#onChange();
    return isReserved;
  }

  #evict(): void {
    this.#isReleased = true;
    this.#recordUnused();
    this.#onEvicted();
  }

  /** Small bodies count only if they fail, which ordinary requests don't. */
  #recordUnused(): void {
    const { reserved } = this.#body;
    if (this.#isComplete && !isLargeBody(reserved)) return;
    this.#recordCopied();
    this.#collection.recordUnused(reserved);
  }

  #recordCopied(): void {
    this.#collection.recordUnused(this.#copied);
    this.#copied = 0;
  }
}

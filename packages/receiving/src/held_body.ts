/** The memory of one request's body. @module */
import { reservationOf } from "@sycamorepulley/decisions";
import type { IncomingBodies, IncomingBody } from "@sycamorepulley/decisions";

/** Reserves memory for a body while it arrives, and until it is released. */
export class HeldBody {
  readonly #bodies: IncomingBodies;
  readonly #clock: () => number;
  readonly #onChange: () => void;
  readonly #body: IncomingBody;
  #onEvicted = () => {};
  #isReleased = false;

  /** `onChange` is called when what is reserved may have changed. */
  constructor(
    bodies: IncomingBodies,
    clock: () => number,
    onChange: () => void = () => {},
  ) {
    this.#bodies = bodies;
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
   * Records that so many bytes were received, which need `memory` bytes. A body
   * may become `maximum` bytes long. Returns false if there is no room for it.
   */
  recordReceived(bytes: number, memory: number, maximum: number): boolean {
    if (this.#isReleased) return false;
    this.#bodies.recordReceived(this.#body, bytes, this.#clock());
    if (memory <= this.#body.reserved) return true;
    return this.#reserve(reservationOf(memory, maximum));
  }

  /** Records that the body is complete and needs so many bytes. */
  complete(memory: number): void {
    if (this.#isReleased) return;
    this.#bodies.complete(this.#body, memory);
    this.#onChange();
  }

  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
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
    this.#onEvicted();
  }
}

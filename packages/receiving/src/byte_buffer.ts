/** A buffer that grows as bytes are appended. @module */

/** Capacity in bytes of a buffer that was just created. */
const INITIAL_CAPACITY = 256;

/**
 * Collects copies of chunks. A chunk itself may be a view of a much larger
 * block of memory, which would be kept with it.
 */
export class ByteBuffer {
  #bytes: Buffer = Buffer.alloc(0);
  #length = 0;

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  append(chunk: Buffer): void {
    if (chunk.length === 0) return;
    const length = this.#length + chunk.length;
    if (length > this.#bytes.length) this.#grow(length);
    chunk.copy(this.#bytes, this.#length);
    this.#length = length;
  }

  /** Whether the text is in the bytes collected, at `from` or later. */
  includes(text: string, from = 0): boolean {
    return this.#bytes.subarray(0, this.#length).includes(text, from);
  }

  /** Returns the bytes collected, and starts again without any. */
  take(): Buffer {
    const bytes = this.#bytes.subarray(0, this.#length);
    this.#bytes = Buffer.alloc(0);
    this.#length = 0;
    return bytes;
  }

  /** Doubles the capacity, so that each byte is copied a few times at most. */
  #grow(length: number): void {
    const capacity = Math.max(
      INITIAL_CAPACITY,
      length,
      2 * this.#bytes.length,
    );
    const bytes = Buffer.allocUnsafe(capacity);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
  }
}

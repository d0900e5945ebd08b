/** The part of a request's body that has been received. @module */
import { bodyCapacity } from "@sycamorepulley/decisions";

/**
 * Copies the chunks of a body into one buffer: Node.js needs about 500 bytes for
 * each chunk besides its content, and a body in pieces twice its memory once
 * they are joined.
 */
export class BodyBuffer {
  readonly #stated: number | undefined;
  readonly #maximum: number;
  #bytes: Buffer = Buffer.alloc(0);
  #length = 0;

  /**
   * In bytes. `stated`: the length of the body; `undefined` if it is not known.
   * `maximum`: the largest length that is accepted.
   */
  constructor(stated: number | undefined, maximum: number) {
    this.#stated = stated;
    this.#maximum = maximum;
  }

  /** Number of bytes received. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the body needs with so many bytes received. */
  memoryFor(length: number): number {
    const received = Math.max(length, this.#length);
    return Math.max(
      this.#bytes.length,
      bodyCapacity(received, this.#stated, this.#maximum),
    );
  }

  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (this.#length === 0 && length === this.#stated) {
      this.#bytes = chunk;
    } else {
      if (length > this.#bytes.length) this.#resize(this.memoryFor(length));
      chunk.copy(this.#bytes, this.#length);
    }
    this.#length = length;
  }

  /** Bytes of memory that are allocated. */
  get capacity(): number {
    return this.#bytes.length;
  }

  /** Returns the bytes received, and gives up memory that is mostly unused. */
  take(): Buffer {
    if (this.#length < this.#bytes.length / 2) this.#resize(this.#length);
    return this.#bytes.subarray(0, this.#length);
  }

  #resize(capacity: number): void {
    const bytes = Buffer.allocUnsafeSlow(capacity);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
  }
}

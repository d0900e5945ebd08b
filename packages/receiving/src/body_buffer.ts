/** The part of a request's body that has been received. @module */
import { ByteBuffer } from "./byte_buffer.ts";

/** Bytes from which a chunk is kept instead of copied. */
const KEPT_CHUNK_BYTES = 8 * 1024;
/** Bytes of a block that takes no more chunks. */
const BLOCK_BYTES = 64 * 1024;

/**
 * Collects the chunks of a body. Small ones are copied into blocks, as Node.js
 * needs about 500 bytes for each chunk besides its content.
 */
export class BodyBuffer {
  readonly #pieces: Buffer[] = [];
  readonly #block = new ByteBuffer();
  #length = 0;
  /** Bytes of memory that the pieces need. */
  #kept = 0;

  /** Number of bytes received. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the body needs. */
  get memory(): number {
    return this.#kept + this.#block.capacity;
  }

  append(chunk: Buffer): void {
    this.#length += chunk.length;
    if (chunk.length < KEPT_CHUNK_BYTES) {
      this.#block.append(chunk);
      if (this.#block.length >= BLOCK_BYTES) this.#endBlock();
    } else {
      this.#endBlock();
      this.#keep(chunk, chunk.length);
    }
  }

  /** Returns the bytes received. */
  take(): Buffer {
    this.#endBlock();
    const [first = Buffer.alloc(0)] = this.#pieces;
    return this.#pieces.length > 1 ? Buffer.concat(this.#pieces) : first;
  }

  #endBlock(): void {
    if (this.#block.length === 0) return;
    const { capacity } = this.#block;
    this.#keep(this.#block.take(), capacity);
  }

  #keep(piece: Buffer, capacity: number): void {
    this.#pieces.push(piece);
    this.#kept += capacity;
  }
}

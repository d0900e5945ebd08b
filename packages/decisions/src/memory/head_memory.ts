/**
 * Bounds the heap that the headers of requests take.
 *
 * Load condition addressed: many clients send heads of a thousand short headers,
 * each within the configured limit. Parsed, such a head takes many times its
 * size, as each name and value is a separate object. Heads of ordinary requests
 * are part of what a connection may need and don't count.
 * @module
 */

/** The part of the heap that large heads may take together. */
const HEAP_FRACTION = 0.25;
/** Bytes of heap for a header: its strings, as sent and by name. */
const HEADER_BYTES = 256;
/** The same while the head is not complete: its strings as sent. */
const INCOMPLETE_HEADER_BYTES = 96;
/** Headers up to which a head doesn't count. */
const ORDINARY_HEADERS = 64;
/** Headers that Node.js keeps of a head at most. */
const MAXIMUM_HEADERS = 1000;

/** Counts the large heads of requests that are in progress. */
export class HeadMemory {
  readonly #budget: number;
  #used = 0;

  /** `heap`: bytes that the heap of the process may take. */
  constructor(heap: number) {
    this.#budget = heap * HEAP_FRACTION;
  }

  /** Number of the largest heads that fit together while they arrive. */
  get capacity(): number {
    const largest = MAXIMUM_HEADERS * INCOMPLETE_HEADER_BYTES;
    return Math.floor(this.#budget / largest);
  }

  /**
   * Admits a head with so many headers. Returns the bytes to release with it, or
   * `undefined` if it doesn't fit.
   */
  admit(headers: number): number | undefined {
    if (headers <= ORDINARY_HEADERS) return 0;
    const bytes = headers * HEADER_BYTES;
    if (this.#used + bytes > this.#budget) return undefined;
    this.#used += bytes;
    return bytes;
  }

  release(bytes: number): void {
    this.#used -= bytes;
  }
}

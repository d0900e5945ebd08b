/** Collects buffers that are no longer used. @module */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** The part of the memory budget at which unused buffers are collected. */
const UNUSED_FRACTION = 1 / 8;

/**
 * Has unused buffers collected earlier than V8 does by itself: it lets 64 MB of
 * them wait outside its heap, more than a small machine has left.
 */
export class BufferCollection {
  readonly #unusedLimit: number;
  #collect: (() => void) | undefined;
  #unused = 0;

  /** `budget`: of the memory for requests and responses, in bytes. */
  constructor(budget: number) {
    this.#unusedLimit = budget * UNUSED_FRACTION;
  }

  /** Records that so many bytes of buffers are no longer used. */
  recordUnused(bytes: number): void {
    this.#unused += bytes;
    if (this.#unused < this.#unusedLimit) return;
    this.#unused = 0;
    this.#collect ??= exposeCollector();
    this.#collect();
  }
}

function exposeCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}

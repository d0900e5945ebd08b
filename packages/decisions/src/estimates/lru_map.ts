/** Map that evicts its least recently used entry when it is full. @module */

/**
 * Bounds the memory that callers with many routes or organisations can use up.
 */
export class LruMap<Key, Value> {
  readonly #capacity: number;
  readonly #entries = new Map<Key, Value>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Returns the value and marks it as the most recently used. */
  get(key: Key): Value | undefined {
    const value = this.#entries.get(key);
    if (value !== undefined) {
      this.#entries.delete(key);
      this.#entries.set(key, value);
    }
    return value;
  }

  set(key: Key, value: Value): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size > this.#capacity) {
      this.#evictOldest();
    }
  }

  #evictOldest(): void {
    for (const key of this.#entries.keys()) {
      this.#entries.delete(key);
      return;
    }
  }
}

/** A map that forgets its least recently used entry when full. @module */

/** Bounds what callers with many routes or organisations can make a process hold. */
export class BoundedMap<Key, Value> {
  readonly #capacity: number;
  readonly #entries = new Map<Key, Value>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** The value, which counts as used by this. */
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
      this.#forgetOldest();
    }
  }

  #forgetOldest(): void {
    for (const key of this.#entries.keys()) {
      this.#entries.delete(key);
      return;
    }
  }
}

/** An engine's cache of prompt prefixes, limited in tokens. @module */

/** Evicts the least recently used prefixes first. */
export class PrefixCache {
  readonly #capacity: number;
  #heldTokens = 0;
  readonly #tokensByKey = new Map<string, number>();

  /** The cache holds up to `capacity` tokens. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Tells whether the prefix is cached; does not count as a use. */
  has(key: string): boolean {
    return this.#tokensByKey.has(key);
  }

  /** Returns the tokens cached for the prefix, 0 if none; counts as a use. */
  get(key: string): number {
    const tokens = this.#tokensByKey.get(key);
    if (tokens === undefined) return 0;
    this.#tokensByKey.delete(key);
    this.#tokensByKey.set(key, tokens);
    return tokens;
  }

  /** Adds the prefix, evicting others as needed. Does nothing if it can't fit. */
  add(key: string, tokens: number): void {
    if (tokens > this.#capacity) return;
    this.#remove(key);
    this.#tokensByKey.set(key, tokens);
    this.#heldTokens += tokens;
    for (const oldest of this.#tokensByKey.keys()) {
      if (this.#heldTokens <= this.#capacity) break;
      this.#remove(oldest);
    }
  }

  clear(): void {
    this.#tokensByKey.clear();
    this.#heldTokens = 0;
  }

  #remove(key: string): void {
    this.#heldTokens -= this.#tokensByKey.get(key) ?? 0;
    this.#tokensByKey.delete(key);
  }
}

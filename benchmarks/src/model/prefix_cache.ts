/** The engine's memory of prompt prefixes, bounded in tokens. @module */

/** Least recently used prefixes go first. */
export class PrefixCache {
  readonly #capacity: number;
  #held = 0;
  readonly #tokens = new Map<string, number>();

  /** Holds up to `capacity` tokens. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Whether the prefix is held, without counting as a use. */
  has(key: string): boolean {
    return this.#tokens.has(key);
  }

  /** Tokens held of the prefix; counts as a use. */
  use(key: string): number {
    const tokens = this.#tokens.get(key);
    if (tokens === undefined) return 0;
    this.#tokens.delete(key);
    this.#tokens.set(key, tokens);
    return tokens;
  }

  /** Holds the prefix; others go to make room. */
  add(key: string, tokens: number): void {
    if (tokens > this.#capacity) return;
    this.#remove(key);
    this.#tokens.set(key, tokens);
    this.#held += tokens;
    for (const oldest of this.#tokens.keys()) {
      if (this.#held <= this.#capacity) break;
      this.#remove(oldest);
    }
  }

  clear(): void {
    this.#tokens.clear();
    this.#held = 0;
  }

  #remove(key: string): void {
    this.#held -= this.#tokens.get(key) ?? 0;
    this.#tokens.delete(key);
  }
}

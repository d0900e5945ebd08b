/** A prefix cache of limited size, as engines keep of prompts. @module */
import { createHash } from "node:crypto";

/** Tokens of one cached block. */
export const BLOCK_TOKENS = 16;
/** Characters that count as one token. */
export const CHARACTERS_PER_TOKEN = 4;

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

/** Tokens of a text, rounded up. */
export function tokensOf(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Keeps the most recently used blocks; a block stands for all before it too. */
export class PrefixCache {
  readonly #blocks = new Set<string>();
  readonly #capacity: number;

  constructor(capacityTokens: number) {
    this.#capacity = Math.floor(capacityTokens / BLOCK_TOKENS);
  }

  get cachedTokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  /** Tokens of the prompt found in the cache; the prompt is cached then. */
  use(prompt: string): number {
    const keys = blockKeys(prompt);
    const missing = keys.findIndex((key) => !this.#blocks.has(key));
    const found = missing < 0 ? keys.length : missing;
    this.#touch(keys);
    return found * BLOCK_TOKENS;
  }

  #touch(keys: string[]): void {
    // The last block first, so that prefixes outlive what follows on them.
    for (const key of keys.reverse()) {
      this.#blocks.delete(key);
      this.#blocks.add(key);
    }
    for (const oldest of this.#blocks) {
      if (this.#blocks.size <= this.#capacity) {
        return;
      }
      this.#blocks.delete(oldest);
    }
  }
}

function blockKeys(prompt: string): string[] {
  const hash = createHash("sha1");
  const keys: string[] = [];
  const end = prompt.length - BLOCK_CHARACTERS;
  for (let start = 0; start <= end; start += BLOCK_CHARACTERS) {
    hash.update(prompt.slice(start, start + BLOCK_CHARACTERS));
    keys.push(hash.copy().digest("base64"));
  }
  return keys;
}

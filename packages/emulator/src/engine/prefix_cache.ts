/** Prefix cache for prompts with a limited size and LRU eviction. @module */
import { createHash } from "node:crypto";

/** Number of tokens in one cached block. */
export const BLOCK_TOKENS = 16;
/** The emulated tokenizer counts this many characters as one token. */
export const CHARACTERS_PER_TOKEN = 4;

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

/** Number of tokens in `text`, rounded up. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Keeps the most recently used blocks. The key of a block covers the whole
 * prompt up to the end of the block.
 */
export class PrefixCache {
  readonly #blocks = new Set<string>();
  readonly #maxBlocks: number;

  constructor(capacityTokens: number) {
    this.#maxBlocks = Math.floor(capacityTokens / BLOCK_TOKENS);
  }

  get cachedTokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  /**
   * Returns how many tokens of the prompt were cached, then caches all its
   * blocks.
   */
  lookUpAndInsert(prompt: string): number {
    const keys = blockKeys(prompt);
    const firstMissing = keys.findIndex((key) => !this.#blocks.has(key));
    const cachedBlocks = firstMissing < 0 ? keys.length : firstMissing;
    this.#markUsed(keys);
    return cachedBlocks * BLOCK_TOKENS;
  }

  #markUsed(keys: string[]): void {
    // Marks the last block first, so that a prefix is evicted after the blocks
    // that follow it.
    for (const key of keys.reverse()) {
      this.#blocks.delete(key);
      this.#blocks.add(key);
    }
    for (const oldest of this.#blocks) {
      if (this.#blocks.size <= this.#maxBlocks) {
        return;
      }
      this.#blocks.delete(oldest);
    }
  }
}

function blockKeys(prompt: string): string[] {
  const prefixHash = createHash("sha1");
  const keys: string[] = [];
  const end = prompt.length - BLOCK_CHARACTERS;
  for (let start = 0; start <= end; start += BLOCK_CHARACTERS) {
    prefixHash.update(prompt.slice(start, start + BLOCK_CHARACTERS));
    keys.push(prefixHash.copy().digest("base64"));
  }
  return keys;
}

/**
 * The hash that places prefixes and picks each entry's subset. All entries
 * must agree on it, so it is seeded by nothing.
 * @module
 */
import createHashes from "xxhash-wasm";

const hashes = await createHashes();

/** Maps a text to an unsigned 32-bit number. */
export type HashText = (text: string) => number;

/** xxHash32 of the text's UTF-8 bytes. */
export function hashText(text: string): number {
  return hashes.h32(text);
}

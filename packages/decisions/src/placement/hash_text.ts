/**
 * The hash function for prefix placement and for each entry's subset of
 * servers. It is unseeded because all entries must agree on it.
 * @module
 */
import { xxHash32 } from "js-xxhash";

/** Maps a string to an unsigned 32-bit integer. */
export type HashText = (text: string) => number;

/** xxHash32 of the text's UTF-8 bytes. */
export function hashText(text: string): number {
  return xxHash32(text);
}

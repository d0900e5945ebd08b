/**
 * Fingerprints of prompt parts. A prompt consists of parts that requests share;
 * engines keep them in their caches by id.
 * @module
 */

/**
 * Begins the fingerprint of a prompt part; fingerprints of whole requests don't
 * contain a colon.
 */
export const PROMPT_PART_PREFIX = "part:";

export function isPromptPart(fingerprint: string): boolean {
  return fingerprint.startsWith(PROMPT_PART_PREFIX);
}

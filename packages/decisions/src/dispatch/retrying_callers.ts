/**
 * Recognises callers that come back after a refusal, at whichever entry.
 *
 * To its caller a request that was refused once is late from then on, and a
 * second refusal is the end. Taken for a new one it would be served before
 * others that can still be on time, or be refused again.
 * @module
 */

/** Milliseconds for which a refusal is remembered: callers' longest deadline. */
const MEMORY = 15_000;
/** Refusals remembered at once: some seconds of a burst. */
const LARGEST_MEMORY = 4096;

/** Refused requests by fingerprint, each good for one return. */
export class ReturningCallers {
  readonly #refused = new Map<string, number>();

  refused(fingerprint: string, now: number): void {
    this.#refused.delete(fingerprint);
    this.#refused.set(fingerprint, now);
    if (this.#refused.size <= LARGEST_MEMORY) return;
    const [oldest] = this.#refused.keys();
    if (oldest !== undefined) this.#refused.delete(oldest);
  }

  /** True once for each refusal. */
  returns(fingerprint: string, now: number): boolean {
    const at = this.#refused.get(fingerprint);
    if (at === undefined) return false;
    this.#refused.delete(fingerprint);
    return now - at < MEMORY;
  }
}

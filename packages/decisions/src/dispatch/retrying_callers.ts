/**
 * Recognises callers that retry after a refusal, at whichever entry.
 *
 * For its caller a request that has been refused once is late from then on, and
 * a second refusal is final. Treated as a new request, the retry would be
 * served before others that can still be timely, or be refused again.
 * @module
 */

/**
 * Milliseconds for which a refusal is remembered: callers' longest deadline.
 */
const RETENTION = 15_000;
/**
 * Maximum number of remembered refusals, which covers some seconds of a burst.
 */
const CAPACITY = 4096;

/** Refused requests by fingerprint; each refusal is matched with one retry. */
export class RetryingCallers {
  readonly #refusedAt = new Map<string, number>();

  recordRefusal(fingerprint: string, now: number): void {
    this.#refusedAt.delete(fingerprint);
    this.#refusedAt.set(fingerprint, now);
    if (this.#refusedAt.size <= CAPACITY) return;
    const [oldest] = this.#refusedAt.keys();
    if (oldest !== undefined) this.#refusedAt.delete(oldest);
  }

  /** True if the request is a retry; removes the refusal that it follows. */
  takeRetry(fingerprint: string, now: number): boolean {
    const refusedAt = this.#refusedAt.get(fingerprint);
    if (refusedAt === undefined) return false;
    this.#refusedAt.delete(fingerprint);
    return now - refusedAt < RETENTION;
  }
}

/**
 * Prompt parts, or whole requests, under which servers have responded completely.
 * @module
 */

/** Milliseconds for which a complete run counts. */
const RETENTION = 600_000;
/**
 * Milliseconds within which further runs don't renew the place in the
 * order of eviction.
 */
const RENEWAL_INTERVAL = 1000;
const MAXIMUM_FINGERPRINTS = 4096;

type FingerprintRuns = { count: number; lastAt: number; renewedAt: number };

/** Counts the complete runs of fingerprints that occurred lately. */
export class CompleteRuns {
  /** Ordered by the last renewal, oldest first. */
  readonly #fingerprints = new Map<string, FingerprintRuns>();

  record(fingerprint: string, now: number): void {
    const runs = this.#fingerprints.get(fingerprint);
    if (runs !== undefined && now - runs.renewedAt < RENEWAL_INTERVAL) {
      runs.count++;
      runs.lastAt = now;
      return;
    }
    this.#fingerprints.delete(fingerprint);
    const count = this.#isRecent(runs, now) ? runs.count + 1 : 1;
    this.#fingerprints.set(fingerprint, { count, lastAt: now, renewedAt: now });
    if (this.#fingerprints.size <= MAXIMUM_FINGERPRINTS) return;
    const [oldest] = this.#fingerprints.keys();
    this.#fingerprints.delete(oldest!);
  }

  /** Number of complete runs of a fingerprint, the last one of them recently. */
  count(fingerprint: string, now: number): number {
    const runs = this.#fingerprints.get(fingerprint);
    return this.#isRecent(runs, now) ? runs.count : 0;
  }

  #isRecent(
    runs: FingerprintRuns | undefined,
    now: number,
  ): runs is FingerprintRuns {
    return runs !== undefined && now - runs.lastAt < RETENTION;
  }
}

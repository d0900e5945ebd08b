/**
 * Prompt parts under which servers have responded completely.
 * @module
 */

/** Milliseconds for which a complete run counts. */
const RETENTION = 600_000;
/**
 * Milliseconds within which further runs don't renew a part's place in the
 * order of eviction.
 */
const RENEWAL_INTERVAL = 1000;
const MAXIMUM_PARTS = 4096;

type PartRuns = { count: number; lastAt: number; renewedAt: number };

/** Counts the complete runs of prompt parts that occurred lately. */
export class CompleteRuns {
  /** Ordered by the last renewal, oldest first. */
  readonly #parts = new Map<string, PartRuns>();

  record(part: string, now: number): void {
    const runs = this.#parts.get(part);
    if (runs !== undefined && now - runs.renewedAt < RENEWAL_INTERVAL) {
      runs.count++;
      runs.lastAt = now;
      return;
    }
    this.#parts.delete(part);
    const count = this.#isRecent(runs, now) ? runs.count + 1 : 1;
    this.#parts.set(part, { count, lastAt: now, renewedAt: now });
    if (this.#parts.size <= MAXIMUM_PARTS) return;
    const [oldest] = this.#parts.keys();
    this.#parts.delete(oldest!);
  }

  /** Number of complete runs of a part, the last one of them recently. */
  count(part: string, now: number): number {
    const runs = this.#parts.get(part);
    return this.#isRecent(runs, now) ? runs.count : 0;
  }

  #isRecent(runs: PartRuns | undefined, now: number): runs is PartRuns {
    return runs !== undefined && now - runs.lastAt < RETENTION;
  }
}

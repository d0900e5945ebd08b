/** Counts requests that were sent to other data centres, for metrics. @module */

/** Why a request left its data centre. */
export type TransferCause =
  /** It would have been refused there. */
  | "no_capacity"
  /** It would have been late there. */
  | "late"
  /** Its slot there is worth more to others than the transfer costs. */
  | "slot_price"
  /** Decided without the balance. */
  | "unbalanced";

/** Transfers between two data centres for one cause. */
export type TransferCount = {
  from: string;
  to: string;
  cause: TransferCause;
  requests: number;
  bytes: number;
};

/** Transfers since they were last taken. */
export class TransferCounts {
  #counts = new Map<string, TransferCount>();

  record(from: string, to: string, cause: TransferCause, bytes: number): void {
    const key = `${from} ${to} ${cause}`;
    let count = this.#counts.get(key);
    if (count === undefined) {
      count = { from, to, cause, requests: 0, bytes: 0 };
      this.#counts.set(key, count);
    }
    count.requests++;
    count.bytes += bytes;
  }

  /** Returns the counts and starts again from zero. */
  take(): TransferCount[] {
    const counts = [...this.#counts.values()];
    this.#counts.clear();
    return counts;
  }
}

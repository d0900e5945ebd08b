/** Counts the calls that an emulated platform service received. @module */

const MILLISECONDS_PER_SECOND = 1000;
const KEPT_SECONDS = 60;

/** Number of calls since the start, and per second of the last minute. */
export type CallCounts = {
  reads: number;
  writes: number;
  /** Highest number of calls in one second of the last minute. */
  peakPerSecond: number;
  /** Calls in the last complete second. */
  lastSecond: number;
};

/** A watch counts as one read, at its start, however long it waits. */
export class CallCounter {
  #reads = 0;
  #writes = 0;
  #callsBySecond = new Map<number, number>();

  recordCall(kind: "read" | "write", now: number): void {
    if (kind === "read") {
      this.#reads += 1;
    } else {
      this.#writes += 1;
    }
    const second = Math.floor(now / MILLISECONDS_PER_SECOND);
    this.#callsBySecond.set(second, (this.#callsBySecond.get(second) ?? 0) + 1);
    this.#removeBefore(second - KEPT_SECONDS);
  }

  counts(now: number): CallCounts {
    const second = Math.floor(now / MILLISECONDS_PER_SECOND);
    this.#removeBefore(second - KEPT_SECONDS);
    return {
      reads: this.#reads,
      writes: this.#writes,
      peakPerSecond: Math.max(0, ...this.#callsBySecond.values()),
      lastSecond: this.#callsBySecond.get(second - 1) ?? 0,
    };
  }

  #removeBefore(before: number): void {
    for (const second of this.#callsBySecond.keys()) {
      if (second < before) {
        this.#callsBySecond.delete(second);
      }
    }
  }
}

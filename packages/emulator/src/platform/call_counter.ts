/** Counts the calls that an emulated platform service received. @module */

const SECOND = 1000;
const KEPT_SECONDS = 60;

/** Calls since the start and in the last whole seconds. */
export type CallCounts = {
  reads: number;
  writes: number;
  /** Most calls within one second, over the last minute. */
  peakPerSecond: number;
  /** Calls in the last whole second. */
  lastSecond: number;
};

/** A waiting watch counts as one read, when it begins. */
export class CallCounter {
  #reads = 0;
  #writes = 0;
  #seconds = new Map<number, number>();

  count(kind: "read" | "write", now: number): void {
    if (kind === "read") {
      this.#reads += 1;
    } else {
      this.#writes += 1;
    }
    const second = Math.floor(now / SECOND);
    this.#seconds.set(second, (this.#seconds.get(second) ?? 0) + 1);
    this.#forget(second - KEPT_SECONDS);
  }

  counts(now: number): CallCounts {
    const second = Math.floor(now / SECOND);
    this.#forget(second - KEPT_SECONDS);
    return {
      reads: this.#reads,
      writes: this.#writes,
      peakPerSecond: Math.max(0, ...this.#seconds.values()),
      lastSecond: this.#seconds.get(second - 1) ?? 0,
    };
  }

  #forget(before: number): void {
    for (const second of this.#seconds.keys()) {
      if (second < before) {
        this.#seconds.delete(second);
      }
    }
  }
}

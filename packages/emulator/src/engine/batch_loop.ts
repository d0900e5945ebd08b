/** Runs the steps of a batch in real time. @module */
import { setImmediate } from "node:timers";
import type { Batch } from "./batch.ts";
import type { Sequence } from "./sequence.ts";

/** Faults that change the pace of the steps. */
export type PaceFaults = {
  slowFactor: () => number;
  /** Instant of the monotonic clock until which no step begins. */
  pausedUntil: () => number;
};

/**
 * Runs steps while the batch has work. Timers fire up to some milliseconds
 * late, so each step starts at the planned end of the previous one instead of
 * its actual end. This keeps the engine's speed independent of the timers'
 * precision.
 */
export class BatchLoop {
  readonly #batch: Batch;
  readonly #faults: PaceFaults;
  #running = false;
  #stopped = false;
  #stepEndsAt = 0;

  constructor(batch: Batch, faults: PaceFaults) {
    this.#batch = batch;
    this.#faults = faults;
  }

  add(sequence: Sequence): void {
    this.#batch.add(sequence);
    if (!this.#running && !this.#stopped) {
      this.#running = true;
      this.#stepEndsAt = performance.now();
      this.#scheduleStep();
    }
  }

  remove(sequence: Sequence): void {
    this.#batch.remove(sequence);
  }

  /** Ends the loop; no more tokens are generated. */
  stop(): void {
    this.#stopped = true;
  }

  #scheduleStep(): void {
    const { slowFactor, pausedUntil } = this.#faults;
    const step = this.#batch.step(slowFactor());
    const startsAt = Math.max(this.#stepEndsAt, pausedUntil());
    this.#stepEndsAt = startsAt + step.duration;
    const wait = this.#stepEndsAt - performance.now();
    const finish = () => this.#completeStep(step.decoded);
    if (wait < 1) {
      setImmediate(finish);
      return;
    }
    setTimeout(finish, wait);
  }

  #completeStep(decoded: Sequence[]): void {
    if (this.#stopped) {
      return;
    }
    for (const sequence of decoded) {
      sequence.onToken();
    }
    if (this.#batch.isIdle) {
      this.#running = false;
      return;
    }
    this.#scheduleStep();
  }
}

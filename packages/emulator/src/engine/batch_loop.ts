/** Runs the steps of a batch in real time. @module */
import { setImmediate } from "node:timers";
import type { Batch } from "./batch.ts";
import type { Sequence } from "./sequence.ts";

/**
 * Runs steps while the batch has work. Timers fire up to some milliseconds
 * late, so each step starts at the planned end of the previous one instead of
 * its actual end. This keeps the engine's speed independent of the timers'
 * precision.
 */
export class BatchLoop {
  readonly #batch: Batch;
  readonly #slowFactor: () => number;
  #running = false;
  #stopped = false;
  #stepEndsAt = 0;

  constructor(batch: Batch, slowFactor: () => number) {
    this.#batch = batch;
    this.#slowFactor = slowFactor;
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
    const step = this.#batch.step(this.#slowFactor());
    this.#stepEndsAt += step.duration;
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

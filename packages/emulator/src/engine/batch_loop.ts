/** Runs a batch against the clock. @module */
import { setImmediate } from "node:timers";
import type { Batch } from "./batch.ts";
import type { Sequence } from "./sequence.ts";

/**
 * Steps while there is work. Timers fire late by up to some milliseconds, so
 * each step is due at the planned end of the one before it, not at its real
 * end: the engine keeps its speed however coarse the timers are.
 */
export class BatchLoop {
  readonly #batch: Batch;
  readonly #slowFactor: () => number;
  #running = false;
  #stopped = false;
  #due = 0;

  constructor(batch: Batch, slowFactor: () => number) {
    this.#batch = batch;
    this.#slowFactor = slowFactor;
  }

  add(sequence: Sequence): void {
    this.#batch.add(sequence);
    if (!this.#running && !this.#stopped) {
      this.#running = true;
      this.#due = performance.now();
      this.#plan();
    }
  }

  remove(sequence: Sequence): void {
    this.#batch.remove(sequence);
  }

  /** No token is generated from now on. */
  stop(): void {
    this.#stopped = true;
  }

  #plan(): void {
    const step = this.#batch.step(this.#slowFactor());
    this.#due += step.duration;
    const wait = this.#due - performance.now();
    const finish = () => this.#finish(step.decoded);
    if (wait < 1) {
      setImmediate(finish);
      return;
    }
    setTimeout(finish, wait);
  }

  #finish(decoded: Sequence[]): void {
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
    this.#plan();
  }
}

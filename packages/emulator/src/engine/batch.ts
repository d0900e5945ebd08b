/**
 * Continuous batching: sequences join and leave between steps, a step takes
 * longer the more of them decode, and prefill work delays the step it is in.
 * Knows no clock; the caller waits out each step's duration.
 * @module
 */
import type { EngineSettings } from "./engine_settings.ts";
import type { Sequence } from "./sequence.ts";

/** What one step does. */
export type Step = {
  /** Milliseconds. */
  duration: number;
  /** Sequences that get a token at the end of the step. */
  decoded: Sequence[];
};

type BatchSettings = Pick<
  EngineSettings,
  | "speed"
  | "maxSequences"
  | "stepTime"
  | "sequenceTime"
  | "prefillTime"
  | "prefillTokensPerStep"
>;

/** Admits sequences as they come; knows no priorities. */
export class Batch {
  readonly #settings: BatchSettings;
  readonly #waiting: Sequence[] = [];
  readonly #running = new Set<Sequence>();

  constructor(settings: BatchSettings) {
    this.#settings = settings;
  }

  get running(): number {
    return this.#running.size;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get isIdle(): boolean {
    return this.running === 0 && this.waiting === 0;
  }

  add(sequence: Sequence): void {
    this.#waiting.push(sequence);
  }

  /** Takes a sequence out, finished or not. */
  remove(sequence: Sequence): void {
    this.#running.delete(sequence);
    const index = this.#waiting.indexOf(sequence);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
  }

  /** Plans the next step. */
  step(slowFactor: number): Step {
    this.#admit();
    const prefilled = this.#prefill();
    const decoded = this.#decode();
    const { stepTime, sequenceTime, prefillTime, speed } = this.#settings;
    const work = stepTime + sequenceTime * decoded.length +
      prefillTime * prefilled;
    return { duration: work * slowFactor / speed, decoded };
  }

  #admit(): void {
    while (this.#running.size < this.#settings.maxSequences) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        return;
      }
      this.#running.add(next);
    }
  }

  #prefill(): number {
    let budget = this.#settings.prefillTokensPerStep;
    for (const sequence of this.#running) {
      const tokens = Math.min(budget, sequence.prefillLeft);
      sequence.prefillLeft -= tokens;
      budget -= tokens;
    }
    return this.#settings.prefillTokensPerStep - budget;
  }

  #decode(): Sequence[] {
    const decoded: Sequence[] = [];
    for (const sequence of this.#running) {
      if (sequence.prefillLeft > 0) {
        continue;
      }
      sequence.outputLeft -= 1;
      decoded.push(sequence);
      if (sequence.outputLeft <= 0) {
        this.#running.delete(sequence);
      }
    }
    return decoded;
  }
}

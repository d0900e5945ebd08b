/**
 * Continuous batching: sequences join and leave the batch between steps. A step
 * takes longer the more sequences decode and the more tokens are prefilled in
 * it. The batch reads no clock; the caller waits for the duration of each step.
 * @module
 */
import type { EngineSettings } from "./engine_settings.ts";
import type { Sequence } from "./sequence.ts";

/** Result of one step. */
export type Step = {
  /** Duration in milliseconds. */
  duration: number;
  /** Sequences that generate a token at the end of the step. */
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

/** Admits sequences in order of arrival, without priorities. */
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

  /** Removes a sequence, whether it is running, waiting or finished. */
  remove(sequence: Sequence): void {
    this.#running.delete(sequence);
    const index = this.#waiting.indexOf(sequence);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
  }

  /** Carries out the next step; its duration is multiplied by `slowFactor`. */
  step(slowFactor: number): Step {
    this.#admitWaiting();
    const prefilled = this.#prefill();
    const decoded = this.#decode();
    const { stepTime, sequenceTime, prefillTime, speed } = this.#settings;
    const work = stepTime + sequenceTime * decoded.length +
      prefillTime * prefilled;
    return { duration: work * slowFactor / speed, decoded };
  }

  #admitWaiting(): void {
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
      const tokens = Math.min(budget, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= tokens;
      budget -= tokens;
    }
    return this.#settings.prefillTokensPerStep - budget;
  }

  #decode(): Sequence[] {
    const decoded: Sequence[] = [];
    for (const sequence of this.#running) {
      if (sequence.remainingPrefillTokens > 0) {
        continue;
      }
      sequence.remainingOutputTokens -= 1;
      decoded.push(sequence);
      if (sequence.remainingOutputTokens <= 0) {
        this.#running.delete(sequence);
      }
    }
    return decoded;
  }
}

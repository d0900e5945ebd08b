/** An engine with continuous batching in virtual time, before a limit. @module */
import type { ConcurrencyLimit, Cost, WaitingQueue } from "../src/mod.ts";

/** Milliseconds of a step at speed 1. */
const STEP = 12;
const STEP_PER_SEQUENCE = 0.3;
const STEP_PER_PROMPT_TOKEN = 0.05;
const PROMPT_TOKENS_PER_STEP = 512;

type Sequence = {
  id: string;
  cost: Cost;
  prompt: number;
  output: number;
  asked: number;
};

/** What the engine runs at once; what is beyond waits inside it, in order. */
export type EngineLimits = { sequences?: number; tokens?: number };

/** What a caller received. */
export type Answer = { id: string; firstToken: number; finished?: number };

/** Grants from its queue as its limit allows, and runs step by step. */
export class SimulatedEngine {
  readonly answers = new Map<string, Answer>();
  now = 0;
  speed = 1;
  /** Factor of the next step's duration, for noise. */
  noise: () => number = () => 1;
  steps = 0;
  readonly #queue: WaitingQueue;
  readonly #limit: ConcurrencyLimit;
  readonly #bounds: EngineLimits;
  readonly #running = new Set<Sequence>();

  constructor(
    queue: WaitingQueue,
    limit: ConcurrencyLimit,
    bounds: EngineLimits = {},
  ) {
    this.#queue = queue;
    this.#limit = limit;
    this.#bounds = bounds;
  }

  /** Runs until `end`; `arrive` is called before each step. */
  run(end: number, arrive: () => void): void {
    while (this.now < end) {
      arrive();
      this.#grant();
      this.#step();
    }
  }

  isRunning(id: string): boolean {
    return [...this.#running].some((sequence) => sequence.id === id);
  }

  #grant(): void {
    for (;;) {
      const next = this.#queue.take(this.now, (one) => this.#limit.admits(one));
      if (next === undefined) {
        return;
      }
      const { id, cost, arrived } = next;
      this.#limit.started(id, cost, this.now);
      const { promptTokens, outputTokens } = cost;
      const sequence = { id, prompt: promptTokens, output: outputTokens };
      this.#running.add({ ...sequence, cost, asked: arrived });
    }
  }

  #batch(): Sequence[] {
    const { sequences = Infinity, tokens = Infinity } = this.#bounds;
    const batch: Sequence[] = [];
    let held = 0;
    for (const sequence of this.#running) {
      const { promptTokens, outputTokens } = sequence.cost;
      held += promptTokens + outputTokens;
      if (held > tokens || batch.length >= sequences) {
        break;
      }
      batch.push(sequence);
    }
    return batch;
  }

  #step(): void {
    const batch = this.#batch();
    let prompt = PROMPT_TOKENS_PER_STEP;
    const decoding = batch.filter((sequence) => {
      const prefilled = Math.min(prompt, sequence.prompt);
      sequence.prompt -= prefilled;
      prompt -= prefilled;
      return sequence.prompt === 0;
    });
    const work = STEP + STEP_PER_SEQUENCE * decoding.length +
      STEP_PER_PROMPT_TOKEN * (PROMPT_TOKENS_PER_STEP - prompt);
    this.steps += 1;
    this.now += batch.length === 0 ? 1 : work / this.speed * this.noise();
    decoding.forEach((sequence) => this.#token(sequence));
  }

  #token(sequence: Sequence): void {
    const { id, asked } = sequence;
    const known = this.answers.get(id);
    const answer = known ?? { id, firstToken: this.now - asked };
    this.answers.set(id, answer);
    this.#limit.progressed(id, 1, this.now);
    sequence.output -= 1;
    if (sequence.output <= 0) {
      answer.finished = this.now - asked;
      this.#running.delete(sequence);
      this.#limit.finished(id, "ok", this.now);
    }
  }
}

/** A prompt and an answer in tokens. */
export function tokenCost(promptTokens: number, outputTokens: number): Cost {
  return { promptTokens, outputTokens };
}

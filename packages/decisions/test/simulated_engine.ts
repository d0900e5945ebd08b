/**
 * Simulates an engine with continuous batching in virtual time, behind a queue
 * and a concurrency limit.
 * @module
 */
import type { ConcurrencyLimit, Cost, WaitingQueue } from "../src/mod.ts";

/** Milliseconds of a step at speed 1, without any work. */
const STEP = 12;
/** Milliseconds that a step takes longer for each sequence that decodes. */
const STEP_PER_SEQUENCE = 0.3;
/** Milliseconds that a step takes longer for each prompt token. */
const STEP_PER_PROMPT_TOKEN = 0.05;
/** Maximum number of prompt tokens that a step prefills. */
const PROMPT_TOKENS_PER_STEP = 512;

type Sequence = {
  id: string;
  cost: Cost;
  pendingPrefillTokens: number;
  remainingTokens: number;
  arrived: number;
};

/** What the engine runs at once; more requests wait in order of arrival. */
export type EngineLimits = { sequences?: number; tokens?: number };

/** Times of a response in milliseconds since the request arrived. */
export type SimulatedResponse = {
  id: string;
  firstToken: number;
  finished?: number;
};

/** Takes requests as the limit allows, and runs them step by step. */
export class SimulatedEngine {
  readonly responses = new Map<string, SimulatedResponse>();
  now = 0;
  speed = 1;
  /** Factor of the next step's duration, for noise. */
  noise: () => number = () => 1;
  steps = 0;
  readonly #queue: WaitingQueue;
  readonly #limit: ConcurrencyLimit;
  readonly #engineLimits: EngineLimits;
  readonly #running = new Set<Sequence>();

  constructor(
    queue: WaitingQueue,
    limit: ConcurrencyLimit,
    limits: EngineLimits = {},
  ) {
    this.#queue = queue;
    this.#limit = limit;
    this.#engineLimits = limits;
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
      const next = this.#queue.take(
        this.now,
        (reservation) => this.#limit.admits(reservation),
      );
      if (next === undefined) {
        return;
      }
      const { id, cost, arrived } = next;
      this.#limit.recordStart(id, cost, this.now);
      const { promptTokens, outputTokens } = cost;
      const sequence = {
        id,
        pendingPrefillTokens: promptTokens,
        remainingTokens: outputTokens,
      };
      this.#running.add({ ...sequence, cost, arrived });
    }
  }

  #batch(): Sequence[] {
    const { sequences = Infinity, tokens = Infinity } = this.#engineLimits;
    const batch: Sequence[] = [];
    let batchTokens = 0;
    for (const sequence of this.#running) {
      const { promptTokens, outputTokens } = sequence.cost;
      batchTokens += promptTokens + outputTokens;
      if (batchTokens > tokens || batch.length >= sequences) {
        break;
      }
      batch.push(sequence);
    }
    return batch;
  }

  #step(): void {
    const batch = this.#batch();
    let prefillBudget = PROMPT_TOKENS_PER_STEP;
    const decoding = batch.filter((sequence) => {
      const prefilled = Math.min(prefillBudget, sequence.pendingPrefillTokens);
      sequence.pendingPrefillTokens -= prefilled;
      prefillBudget -= prefilled;
      return sequence.pendingPrefillTokens === 0;
    });
    const work = STEP + STEP_PER_SEQUENCE * decoding.length +
      STEP_PER_PROMPT_TOKEN * (PROMPT_TOKENS_PER_STEP - prefillBudget);
    this.steps += 1;
    this.now += batch.length === 0 ? 1 : work / this.speed * this.noise();
    decoding.forEach((sequence) => this.#token(sequence));
  }

  #token(sequence: Sequence): void {
    const { id, arrived } = sequence;
    const started = this.responses.get(id);
    const response = started ?? { id, firstToken: this.now - arrived };
    this.responses.set(id, response);
    this.#limit.recordTokens(id, 1, this.now);
    sequence.remainingTokens -= 1;
    if (sequence.remainingTokens <= 0) {
      response.finished = this.now - arrived;
      this.#running.delete(sequence);
      this.#limit.recordEnd(id, "ok", this.now);
    }
  }
}

/** Returns a cost in tokens of the prompt and of the response. */
export function tokenCost(promptTokens: number, outputTokens: number): Cost {
  return { promptTokens, outputTokens };
}

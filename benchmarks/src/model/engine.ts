/**
 * An engine with continuous batching: it admits requests in the order in which
 * they come, knows no priority, prefills in chunks beside decoding, and keeps
 * a bounded cache of prefixes.
 * @module
 */
import {
  type EngineSettings,
  MAXIMUM_SEQUENCES,
  PREFILL_CHUNK,
  STEP_BASE,
  STEP_PER_CONTEXT_TOKEN,
  STEP_PER_PREFILL_TOKEN,
  STEP_PER_SEQUENCE,
} from "./engine_settings.ts";
import type { EventLoop } from "./event_loop.ts";
import type { Outcome } from "./outcome.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Work done on a crashing request before it takes the engine down. */
const TOKENS_BEFORE_CRASH = 3;

/** What the process beside the engine hears of one request. */
export type SequenceListener = {
  onFirstToken(): void;
  /** One more token. */
  onProgress(): void;
  onFinished(): void;
  /** The engine died with the request in it. */
  onCrashed(): void;
};

type Sequence = {
  outcome: Outcome;
  listener: SequenceListener;
  leftToPrefill: number;
  prefillInStep: number;
  generated: number;
  cancelled: boolean;
};

/** The engine's life as seen from beside it. */
export type EngineObserver = {
  onCrashed(): void;
  onRestarted(): void;
};

/** See the module. */
export class Engine {
  readonly settings: EngineSettings;
  readonly cache: PrefixCache;
  observer: EngineObserver | undefined;
  readonly #loop: EventLoop;
  readonly #heldElsewhere: (key: string, engine: Engine) => boolean;
  readonly #onCrash: () => void;
  readonly #waiting: Sequence[] = [];
  #running: Sequence[] = [];
  #reservedTokens = 0;
  #stepping = false;
  #incarnation = 0;
  #slowdown = 1;
  #alive = true;

  constructor(options: {
    settings: EngineSettings;
    loop: EventLoop;
    /** Whether another live engine holds the prefix; for the measurement only. */
    heldElsewhere: (key: string, engine: Engine) => boolean;
    onCrash: () => void;
  }) {
    this.settings = options.settings;
    this.cache = new PrefixCache(options.settings.prefixCacheTokens);
    this.#loop = options.loop;
    this.#heldElsewhere = options.heldElsewhere;
    this.#onCrash = options.onCrash;
  }

  get alive(): boolean {
    return this.#alive;
  }

  get runningCount(): number {
    return this.#running.length;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Makes each step `factor` times as long from the next one on. */
  slowDown(factor: number): void {
    this.#slowdown = factor;
  }

  submit(outcome: Outcome, listener: SequenceListener): void {
    if (!this.#alive) {
      listener.onCrashed();
      return;
    }
    outcome.dispatches += 1;
    this.#waiting.push({
      outcome,
      listener,
      leftToPrefill: 0,
      prefillInStep: 0,
      generated: 0,
      cancelled: false,
    });
    if (!this.#stepping) this.#startStep();
  }

  /** Drops the request; a running one leaves at the end of the step. */
  cancel(outcome: Outcome): void {
    const index = this.#waiting.findIndex((one) => one.outcome === outcome);
    if (index >= 0) this.#waiting.splice(index, 1);
    const sequence = this.#running.find((one) => one.outcome === outcome);
    if (sequence !== undefined) sequence.cancelled = true;
  }

  /** Dies with all it holds; comes back empty after `restartAfter`, if given. */
  crash(restartAfter?: number): void {
    if (!this.#alive) return;
    this.#alive = false;
    this.#incarnation += 1;
    this.#stepping = false;
    const lost = [...this.#running, ...this.#waiting];
    this.#running = [];
    this.#waiting.length = 0;
    this.#reservedTokens = 0;
    this.cache.clear();
    this.#onCrash();
    this.observer?.onCrashed();
    for (const sequence of lost) {
      if (!sequence.cancelled) sequence.listener.onCrashed();
    }
    if (restartAfter === undefined) return;
    this.#loop.after(restartAfter, () => {
      this.#alive = true;
      this.observer?.onRestarted();
    });
  }

  #admit(): void {
    while (this.#running.length < MAXIMUM_SEQUENCES) {
      const next = this.#waiting[0];
      if (next === undefined) return;
      const tokens = sequenceTokens(next);
      const fits = this.#reservedTokens + tokens <= this.settings.memoryTokens;
      if (!fits && this.#running.length > 0) return;
      this.#waiting.shift();
      next.outcome.startedAt ??= this.#loop.now;
      this.#reservedTokens += tokens;
      this.#lookUpPrefix(next);
      this.#running.push(next);
    }
  }

  #lookUpPrefix(sequence: Sequence): void {
    const { outcome } = sequence;
    const { prefixKey, prefixTokens, promptTokens } = outcome.request;
    const cached = Math.min(this.cache.use(prefixKey), prefixTokens);
    sequence.leftToPrefill = Math.max(1, promptTokens - cached);
    if (cached < prefixTokens && this.#heldElsewhere(prefixKey, this)) {
      outcome.repeatedTokens += prefixTokens - cached;
    }
  }

  #startStep(): void {
    this.#admit();
    if (this.#running.length === 0) {
      this.#stepping = false;
      return;
    }
    this.#stepping = true;
    let budget = PREFILL_CHUNK;
    let decoding = 0;
    let context = 0;
    for (const sequence of this.#running) {
      if (sequence.leftToPrefill > 0) {
        sequence.prefillInStep = Math.min(budget, sequence.leftToPrefill);
        budget -= sequence.prefillInStep;
      } else {
        decoding += 1;
        context += sequence.outcome.request.promptTokens + sequence.generated;
      }
    }
    const work = STEP_BASE + decoding * STEP_PER_SEQUENCE +
      (PREFILL_CHUNK - budget) * STEP_PER_PREFILL_TOKEN +
      context * STEP_PER_CONTEXT_TOKEN;
    const duration = work * this.#slowdown / this.settings.speed;
    const incarnation = this.#incarnation;
    this.#loop.after(duration, () => {
      if (incarnation === this.#incarnation) this.#endStep();
    });
  }

  #endStep(): void {
    const sequences = this.#running;
    this.#running = [];
    const kept: Sequence[] = [];
    const finished: Sequence[] = [];
    const first: Sequence[] = [];
    const further: Sequence[] = [];
    for (const sequence of sequences) {
      if (sequence.cancelled) {
        this.#countPrefill(sequence);
        this.#reservedTokens -= sequenceTokens(sequence);
        continue;
      }
      const wasPrefilling = sequence.leftToPrefill > 0;
      if (wasPrefilling) this.#countPrefill(sequence);
      if (sequence.leftToPrefill > 0) {
        kept.push(sequence);
        continue;
      }
      if (wasPrefilling) this.#keepPrefix(sequence);
      sequence.generated += 1;
      if (sequence.generated === 1) first.push(sequence);
      else further.push(sequence);
      if (sequence.generated >= sequence.outcome.request.outputTokens) {
        finished.push(sequence);
        this.#reservedTokens -= sequenceTokens(sequence);
      } else kept.push(sequence);
    }
    this.#running = kept;
    for (const sequence of first) sequence.listener.onFirstToken();
    for (const sequence of further) sequence.listener.onProgress();
    for (const sequence of finished) sequence.listener.onFinished();
    if (kept.some(isCrashing)) {
      this.crash(ENGINE_RESTART);
      return;
    }
    this.#startStep();
  }

  #countPrefill(sequence: Sequence): void {
    sequence.leftToPrefill -= sequence.prefillInStep;
    sequence.outcome.prefilledTokens += sequence.prefillInStep;
    sequence.prefillInStep = 0;
  }

  #keepPrefix(sequence: Sequence): void {
    const { prefixKey, prefixTokens } = sequence.outcome.request;
    if (prefixTokens === 0 || this.cache.has(prefixKey)) return;
    this.cache.add(prefixKey, prefixTokens);
  }
}

/** Milliseconds that an engine needs to come back after a crash. */
export const ENGINE_RESTART = 8000;

function sequenceTokens(sequence: Sequence): number {
  const { promptTokens, outputTokens } = sequence.outcome.request;
  return promptTokens + outputTokens;
}

function isCrashing(sequence: Sequence): boolean {
  return sequence.outcome.request.crashes &&
    sequence.generated >= TOKENS_BEFORE_CRASH;
}

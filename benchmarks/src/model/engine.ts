/**
 * Simulates an inference engine with continuous batching. It admits requests in
 * order of arrival, without priorities, prefills in chunks while it decodes
 * other requests, and has a prefix cache of limited size.
 * @module
 */
import {
  type EngineSettings,
  MAX_PREFILL_TOKENS_PER_STEP,
  MAXIMUM_SEQUENCES,
  STEP_BASE,
  STEP_PER_CONTEXT_TOKEN,
  STEP_PER_PREFILL_TOKEN,
  STEP_PER_SEQUENCE,
} from "./engine_settings.ts";
import type { EventLoop } from "./event_loop.ts";
import type { Outcome } from "./outcome.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Output tokens of a crashing request after which the engine crashes. */
const TOKENS_UNTIL_CRASH = 3;

/** Notified of the progress of one request; implemented by the engine's user. */
export type SequenceListener = {
  onFirstToken(): void;
  /** Called for each token after the first. */
  onLaterToken(): void;
  onFinished(): void;
  /** The engine crashed while the request was waiting or running. */
  onCrashed(): void;
};

type Sequence = {
  outcome: Outcome;
  listener: SequenceListener;
  remainingPrefillTokens: number;
  stepPrefillTokens: number;
  generatedTokens: number;
  cancelled: boolean;
};

/** Notified when the engine crashes and when it has restarted. */
export type EngineObserver = {
  onCrashed(): void;
  onRestarted(): void;
};

/** One simulated engine. */
export class Engine {
  readonly settings: EngineSettings;
  readonly cache: PrefixCache;
  observer: EngineObserver | undefined;
  readonly #loop: EventLoop;
  readonly #isCachedElsewhere: (key: string, engine: Engine) => boolean;
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
    /**
     * Tells whether another live engine has cached the prefix. Used only to
     * measure repeated prefill; the simulation does not depend on it.
     */
    isCachedElsewhere: (key: string, engine: Engine) => boolean;
    onCrash: () => void;
  }) {
    this.settings = options.settings;
    this.cache = new PrefixCache(options.settings.prefixCacheTokens);
    this.#loop = options.loop;
    this.#isCachedElsewhere = options.isCachedElsewhere;
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

  /** From the next step on, steps take `factor` times as long. */
  setSlowdown(factor: number): void {
    this.#slowdown = factor;
  }

  submit(outcome: Outcome, listener: SequenceListener): void {
    if (!this.#alive) {
      listener.onCrashed();
      return;
    }
    outcome.dispatchCount += 1;
    this.#waiting.push({
      outcome,
      listener,
      remainingPrefillTokens: 0,
      stepPrefillTokens: 0,
      generatedTokens: 0,
      cancelled: false,
    });
    if (!this.#stepping) this.#startStep();
  }

  /** Removes the request; a running one is removed at the end of the step. */
  cancel(outcome: Outcome): void {
    const index = this.#waiting.findIndex((sequence) =>
      sequence.outcome === outcome
    );
    if (index >= 0) this.#waiting.splice(index, 1);
    const sequence = this.#running.find((sequence) =>
      sequence.outcome === outcome
    );
    if (sequence !== undefined) sequence.cancelled = true;
  }

  /**
   * Crashes: all requests and cached prefixes are lost. The engine restarts
   * after `restartAfter` milliseconds, or never if that is not given.
   */
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
    this.#loop.scheduleAfter(restartAfter, () => {
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
    const cached = Math.min(this.cache.get(prefixKey), prefixTokens);
    sequence.remainingPrefillTokens = Math.max(1, promptTokens - cached);
    if (cached < prefixTokens && this.#isCachedElsewhere(prefixKey, this)) {
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
    let prefillBudget = MAX_PREFILL_TOKENS_PER_STEP;
    let decodingSequences = 0;
    let contextTokens = 0;
    for (const sequence of this.#running) {
      if (sequence.remainingPrefillTokens > 0) {
        sequence.stepPrefillTokens = Math.min(
          prefillBudget,
          sequence.remainingPrefillTokens,
        );
        prefillBudget -= sequence.stepPrefillTokens;
      } else {
        decodingSequences += 1;
        contextTokens += sequence.outcome.request.promptTokens +
          sequence.generatedTokens;
      }
    }
    const work = STEP_BASE + decodingSequences * STEP_PER_SEQUENCE +
      (MAX_PREFILL_TOKENS_PER_STEP - prefillBudget) * STEP_PER_PREFILL_TOKEN +
      contextTokens * STEP_PER_CONTEXT_TOKEN;
    const duration = work * this.#slowdown / this.settings.speed;
    const incarnation = this.#incarnation;
    this.#loop.scheduleAfter(duration, () => {
      if (incarnation === this.#incarnation) this.#endStep();
    });
  }

  #endStep(): void {
    const sequences = this.#running;
    this.#running = [];
    const continuing: Sequence[] = [];
    const finished: Sequence[] = [];
    const withFirstToken: Sequence[] = [];
    const withLaterToken: Sequence[] = [];
    for (const sequence of sequences) {
      if (sequence.cancelled) {
        this.#countPrefill(sequence);
        this.#reservedTokens -= sequenceTokens(sequence);
        continue;
      }
      const wasPrefilling = sequence.remainingPrefillTokens > 0;
      if (wasPrefilling) this.#countPrefill(sequence);
      if (sequence.remainingPrefillTokens > 0) {
        continuing.push(sequence);
        continue;
      }
      if (wasPrefilling) this.#cachePrefix(sequence);
      sequence.generatedTokens += 1;
      if (sequence.generatedTokens === 1) withFirstToken.push(sequence);
      else withLaterToken.push(sequence);
      if (sequence.generatedTokens >= sequence.outcome.request.outputTokens) {
        finished.push(sequence);
        this.#reservedTokens -= sequenceTokens(sequence);
      } else continuing.push(sequence);
    }
    this.#running = continuing;
    for (const sequence of withFirstToken) sequence.listener.onFirstToken();
    for (const sequence of withLaterToken) sequence.listener.onLaterToken();
    for (const sequence of finished) sequence.listener.onFinished();
    if (continuing.some(hasReachedCrash)) {
      this.crash(ENGINE_RESTART_TIME);
      return;
    }
    this.#startStep();
  }

  #countPrefill(sequence: Sequence): void {
    sequence.remainingPrefillTokens -= sequence.stepPrefillTokens;
    sequence.outcome.prefilledTokens += sequence.stepPrefillTokens;
    sequence.stepPrefillTokens = 0;
  }

  #cachePrefix(sequence: Sequence): void {
    const { prefixKey, prefixTokens } = sequence.outcome.request;
    if (prefixTokens === 0 || this.cache.has(prefixKey)) return;
    this.cache.add(prefixKey, prefixTokens);
  }
}

/** Milliseconds that an engine takes to restart after a crash. */
export const ENGINE_RESTART_TIME = 8000;

function sequenceTokens(sequence: Sequence): number {
  const { promptTokens, outputTokens } = sequence.outcome.request;
  return promptTokens + outputTokens;
}

function hasReachedCrash(sequence: Sequence): boolean {
  return sequence.outcome.request.crashesEngine &&
    sequence.generatedTokens >= TOKENS_UNTIL_CRASH;
}

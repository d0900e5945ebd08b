/**
 * Prompts on their way to the first token, and whether they wait inside the engine.
 *
 * Load pattern: quotes of 7,000 tokens on an engine whose memory holds ten. The
 * streams that run keep their pace, so the time between tokens shows nothing, and
 * the eleventh waits inside for minutes with short requests of higher tiers
 * behind it. It shows only in this: no prompt gets its first token although the
 * others decode. In a trial the wait was taken for slow prefilling and the
 * engine was given one prompt at a time.
 * @module
 */
import type { PrefillTime } from "./prefill_rate.ts";

/** Half of what a first token may take. */
const PATIENCE = 650;
/** A prompt may take this many times as long as its length says. */
const TOLERANCE = 2;

type Prefill = { started: number; promptTokens: number };

/** The prompts in the order in which they were handed over. */
export class Prefills {
  readonly #prefills = new Map<string, Prefill>();
  #lastEnd = -Infinity;
  #blocked = false;

  started(id: string, promptTokens: number, now: number): void {
    this.#prefills.set(id, { started: now, promptTokens });
  }

  /** The first token has come, or the request has ended without one. */
  ended(id: string, now: number): PrefillTime | undefined {
    const prefill = this.#prefills.get(id);
    if (prefill === undefined) {
      return undefined;
    }
    this.#prefills.delete(id);
    const { promptTokens } = prefill;
    const elapsed = this.#waited(prefill, now);
    const blocked = this.#blocked;
    this.#lastEnd = now;
    this.#blocked = false;
    return { promptTokens, elapsed, blocked };
  }

  /**
   * Whether the oldest prompt waits inside the engine; said once. `rate` is in
   * tokens per millisecond.
   */
  noticeBlocked(rate: number, now: number): boolean {
    const [oldest] = this.#prefills.values();
    if (oldest === undefined || this.#blocked) {
      return false;
    }
    const explained = TOLERANCE * oldest.promptTokens / rate;
    this.#blocked = this.#waited(oldest, now) > PATIENCE + explained;
    return this.#blocked;
  }

  #waited(prefill: Prefill, now: number): number {
    return now - Math.max(prefill.started, this.#lastEnd);
  }
}

/**
 * How fast a queue drains, and from it when a refused caller should return.
 *
 * Load pattern: overload with callers that come back. A fixed Retry-After either
 * brings all of them back while the queue is still full, or leaves the engine
 * idle after a short burst. Work done is counted with an exponential memory of
 * ten seconds: a few long answers, yet a slow engine shows within seconds.
 * Jitter of up to half the wait keeps callers that were refused together from
 * returning together.
 * @module
 */

const MEMORY = 10_000;
const SHORTEST_RETRY_AFTER = 250;
const LONGEST_RETRY_AFTER = 60_000;
/** Told while nothing has been served yet. */
const COLD_RETRY_AFTER = 1000;
const JITTER = 0.5;

/** Work served per millisecond, and the wait worked out from it. */
export class DrainRate {
  #work = 0;
  #lastNow: number | undefined;
  #firstNow: number | undefined;

  /** `work` units were served to their end at `now`. */
  observe(work: number, now: number): void {
    this.#firstNow ??= now;
    this.#work = this.#decayed(now) + work;
    this.#lastNow = now;
  }

  /** Work per millisecond; undefined before the first observation. */
  rate(now: number): number | undefined {
    if (this.#firstNow === undefined) {
      return undefined;
    }
    const age = Math.max(1000, now - this.#firstNow);
    return this.#decayed(now) / (MEMORY * (1 - Math.exp(-age / MEMORY)));
  }

  /**
   * Milliseconds after which `queuedWorkAhead` is expected to have drained, with
   * jitter from `random`, a number from 0 to 1.
   */
  retryAfter(queuedWorkAhead: number, now: number, random: number): number {
    const wait = this.expectedWait(queuedWorkAhead, now);
    return Math.round(clamp(wait) * (1 + JITTER * random));
  }

  /** Milliseconds until `queuedWorkAhead` has drained, without jitter. */
  expectedWait(queuedWorkAhead: number, now: number): number {
    const rate = this.rate(now);
    if (rate === undefined) {
      return queuedWorkAhead > 0 ? COLD_RETRY_AFTER : 0;
    }
    if (queuedWorkAhead <= 0) {
      return 0;
    }
    return Math.min(LONGEST_RETRY_AFTER, queuedWorkAhead / rate);
  }

  #decayed(now: number): number {
    const age = Math.max(0, now - (this.#lastNow ?? now));
    return this.#work * Math.exp(-age / MEMORY);
  }
}

function clamp(milliseconds: number): number {
  return Math.min(
    LONGEST_RETRY_AFTER,
    Math.max(SHORTEST_RETRY_AFTER, milliseconds),
  );
}

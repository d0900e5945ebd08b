/**
 * Estimates how fast a queue drains, and from it when a refused caller should
 * retry.
 *
 * Under overload with retrying callers, a fixed Retry-After either brings all
 * of them back while the queue is still full, or leaves the engine idle after a
 * short burst. Completed work is counted with exponential decay over ten
 * seconds, which covers a few long responses, yet shows a slow engine within
 * seconds. Jitter of up to half the wait keeps callers that were refused
 * together from retrying together.
 * @module
 */

/** Time constant of the decay, in milliseconds. */
const DECAY_TIME = 10_000;
/** Minimum retry delay in milliseconds, before jitter. */
const MINIMUM_RETRY_AFTER = 250;
/** Maximum wait and retry delay in milliseconds, before jitter. */
const MAXIMUM_RETRY_AFTER = 60_000;
/** Wait in milliseconds while nothing has been completed yet. */
const INITIAL_RETRY_AFTER = 1000;
/** Maximum jitter as a fraction of the wait. */
const MAXIMUM_JITTER = 0.5;

/**
 * Measures completed work per millisecond and derives waiting times from it.
 */
export class DrainRate {
  #work = 0;
  #lastObservedAt: number | undefined;
  #firstObservedAt: number | undefined;

  /** Records that `work` units were completed at `now`. */
  observe(work: number, now: number): void {
    this.#firstObservedAt ??= now;
    this.#work = this.#decayed(now) + work;
    this.#lastObservedAt = now;
  }

  /** Work per millisecond; undefined before the first observation. */
  rate(now: number): number | undefined {
    if (this.#firstObservedAt === undefined) {
      return undefined;
    }
    // At least a second: the first observations would give a far too high rate.
    const age = Math.max(1000, now - this.#firstObservedAt);
    return this.#decayed(now) /
      (DECAY_TIME * (1 - Math.exp(-age / DECAY_TIME)));
  }

  /**
   * Milliseconds after which `queuedWorkAhead` is expected to have drained,
   * with jitter from `random`, a number from 0 to 1.
   */
  retryAfter(queuedWorkAhead: number, now: number, random: number): number {
    const wait = this.expectedWait(queuedWorkAhead, now);
    return Math.round(clamp(wait) * (1 + MAXIMUM_JITTER * random));
  }

  /** Milliseconds until `queuedWorkAhead` has drained, without jitter. */
  expectedWait(queuedWorkAhead: number, now: number): number {
    const rate = this.rate(now);
    if (rate === undefined) {
      return queuedWorkAhead > 0 ? INITIAL_RETRY_AFTER : 0;
    }
    if (queuedWorkAhead <= 0) {
      return 0;
    }
    return Math.min(MAXIMUM_RETRY_AFTER, queuedWorkAhead / rate);
  }

  #decayed(now: number): number {
    const age = Math.max(0, now - (this.#lastObservedAt ?? now));
    return this.#work * Math.exp(-age / DECAY_TIME);
  }
}

function clamp(milliseconds: number): number {
  return Math.min(
    MAXIMUM_RETRY_AFTER,
    Math.max(MINIMUM_RETRY_AFTER, milliseconds),
  );
}

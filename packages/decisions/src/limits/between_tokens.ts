/**
 * The mean time between tokens of the streams of one engine, a window at a time.
 *
 * The mean and not a high percentile: steps that prefill a prompt take two or
 * three times as long as others, at any concurrency, and a caller sees the mean
 * over its answer. In a trial the 95th percentile of steps held an engine at 7
 * sequences and 5.6 answers a second, the mean at 42 and 13.9.
 * @module
 */

/** Long enough for a dozen steps, short enough to follow a slow-down. */
const WINDOW = 500;
/** Fewer tokens than this say too little. */
const LEAST_TOKENS = 16;
/** No token at all for so long, in milliseconds, is a stall. */
const STALL = 1000;

/** What a window showed: the mean time, or the length of a stall. */
export type WindowTime = { time: number; stalled: boolean };

/** Times are milliseconds. */
export class BetweenTokens {
  #windowStarted: number | undefined;
  #lastToken = 0;
  #time = 0;
  #tokens = 0;

  /** A stream's first token, which has no token before it. */
  first(now: number): void {
    this.#lastToken = now;
  }

  /** `tokens` came `elapsed` milliseconds after the stream's token before. */
  add(elapsed: number, tokens: number, now: number): void {
    this.#time += elapsed;
    this.#tokens += tokens;
    this.#lastToken = now;
  }

  /** What a window that has ended showed, once; undefined within a window. */
  endWindow(now: number, decoding: number): WindowTime | undefined {
    this.#windowStarted ??= now;
    if (now - this.#windowStarted < WINDOW) {
      return undefined;
    }
    const shown = this.#shown(now, decoding);
    if (shown !== undefined) {
      this.#windowStarted = now;
      this.#time = 0;
      this.#tokens = 0;
    }
    return shown;
  }

  /**
   * A stalled engine sends no tokens to measure, so its silence is the measure.
   * Only the silence of all streams: one alone may have a caller who reads
   * slowly, and would hold the engine at its floor.
   */
  #shown(now: number, decoding: number): WindowTime | undefined {
    if (this.#tokens >= LEAST_TOKENS) {
      return { time: this.#time / this.#tokens, stalled: false };
    }
    const silence = now - this.#lastToken;
    const stalled = decoding > 0 && silence > STALL;
    return stalled ? { time: silence, stalled } : undefined;
  }
}

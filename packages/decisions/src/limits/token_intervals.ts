/**
 * The mean time between tokens over all streams of one engine, measured in
 * windows.
 *
 * It is the mean and not a high percentile because steps that prefill a prompt
 * take two or three times as long as others at any concurrency, and a caller
 * experiences the mean over its response. A limit that follows the 95th
 * percentile of step times holds an engine at 7 sequences and 5.6 responses a
 * second; one that follows the mean allows 42 sequences and 13.9 responses a
 * second.
 * @module
 */

/**
 * Window length in milliseconds: long enough for a dozen steps, short enough to
 * follow a slow-down.
 */
const WINDOW_LENGTH = 500;
/** Minimum number of tokens for a meaningful mean. */
const MIN_WINDOW_TOKENS = 16;
/** Milliseconds without a token from any stream that count as a stall. */
const STALL_TIMEOUT = 1000;

/**
 * The measurement of one window: the mean time between tokens or, if the engine
 * stalled, the length of the stall.
 */
export type WindowTime = { time: number; stalled: boolean };

/** All times are in milliseconds. */
export class TokenIntervals {
  #windowStartedAt: number | undefined;
  #lastTokenAt = 0;
  #time = 0;
  #tokens = 0;

  /** Records the first token of a stream, which has no preceding token. */
  recordFirst(now: number): void {
    this.#lastTokenAt = now;
  }

  /**
   * Records `tokens` tokens that came `elapsed` milliseconds after the previous
   * token of the same stream.
   */
  record(elapsed: number, tokens: number, now: number): void {
    this.#time += elapsed;
    this.#tokens += tokens;
    this.#lastTokenAt = now;
  }

  /**
   * Ends the window if it is over and has a measurement, which is returned;
   * otherwise returns `undefined` and the window continues.
   */
  endWindow(now: number, decoding: number): WindowTime | undefined {
    this.#windowStartedAt ??= now;
    if (now - this.#windowStartedAt < WINDOW_LENGTH) {
      return undefined;
    }
    const measurement = this.#measurement(now, decoding);
    if (measurement !== undefined) {
      this.#windowStartedAt = now;
      this.#time = 0;
      this.#tokens = 0;
    }
    return measurement;
  }

  /**
   * A stalled engine sends no tokens that could be measured, so the time since
   * the last token is the measurement. Only silence of all streams counts: a
   * single silent stream may belong to a caller that reads slowly, and would
   * hold the engine at its minimum.
   */
  #measurement(now: number, decoding: number): WindowTime | undefined {
    if (this.#tokens >= MIN_WINDOW_TOKENS) {
      return { time: this.#time / this.#tokens, stalled: false };
    }
    const silence = now - this.#lastTokenAt;
    const stalled = decoding > 0 && silence > STALL_TIMEOUT;
    return stalled ? { time: silence, stalled } : undefined;
  }
}

/**
 * Detects a server that has stopped sending.
 *
 * A server or network that fails silently closes no connection. Callers wait
 * for two seconds, disconnect, and count the response as lost. If the silence
 * is detected in half of that time, the request can still be retried at another
 * server.
 * @module
 */

/** Tolerated silences in milliseconds. */
export type SilenceTimeouts = {
  /** Until the first part of the response. */
  firstPart: number;
  /** Between one part and the next. */
  nextPart: number;
};

/** Calls `onSilence` after a silence; restarts if that returns false. */
export class SilenceWatchdog {
  readonly #timeouts: SilenceTimeouts;
  readonly #onSilence: () => boolean;
  #timer: NodeJS.Timeout;

  constructor(timeouts: SilenceTimeouts, onSilence: () => boolean) {
    this.#timeouts = timeouts;
    this.#onSilence = onSilence;
    this.#timer = setTimeout(() => this.#onTimeout(), timeouts.firstPart);
  }

  /** Restarts the timer, as a part of the response arrived. */
  reset(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#onTimeout(), this.#timeouts.nextPart);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #onTimeout(): void {
    if (!this.#onSilence()) this.reset();
  }
}

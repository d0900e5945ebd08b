/**
 * Detects a server that has stopped sending. A server or network that fails
 * silently closes no connection.
 * @module
 */

/** Tolerated silences in milliseconds. */
export type SilenceTimeouts = {
  /** Until the first part of the response. */
  firstPart: number;
  /** Between one part and the next. */
  nextPart: number;
};

/** Milliseconds between two reports of one silence. */
const REPORT_INTERVAL = 400;

/** Calls `onSilence` repeatedly during a silence. */
export class SilenceWatchdog {
  readonly #timeouts: SilenceTimeouts;
  readonly #onSilence: () => void;
  #timer: NodeJS.Timeout;
  #immediate: NodeJS.Immediate | undefined;

  constructor(timeouts: SilenceTimeouts, onSilence: () => void) {
    this.#timeouts = timeouts;
    this.#onSilence = onSilence;
    this.#timer = setTimeout(() => this.#onTimeout(), timeouts.firstPart);
  }

  /** Restarts the timer, as a part of the response arrived. */
  reset(): void {
    this.stop();
    this.#schedule(this.#timeouts.nextPart);
  }

  stop(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  #schedule(delay: number): void {
    this.#timer = setTimeout(() => this.#onTimeout(), delay);
  }

  #onTimeout(): void {
    // After a pause of this process, the timer is due before the data that
    // arrived meanwhile is read, which happens in the next phase of the event
    // loop and resets the timer.
    this.#immediate = setImmediate(() => {
      this.#schedule(REPORT_INTERVAL);
      this.#onSilence();
    });
  }
}

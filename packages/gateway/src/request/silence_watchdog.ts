/**
 * Notices a server that has fallen silent.
 *
 * A server that goes dark, or a connection that went silent, closes nothing. Its
 * callers wait for two seconds, leave, and count the answer as lost; noticed in
 * half of that time the request can still go on at another server.
 * @module
 */

/** Milliseconds of silence that are waited for. */
export type SilenceTimeouts = {
  /** Until the first part of the answer. */
  firstPart: number;
  /** Between parts. */
  nextPart: number;
};

/** Calls `silent` after a silence; if that returns false, watches on. */
export class SilenceWatchdog {
  readonly #timeouts: SilenceTimeouts;
  readonly #onSilence: () => boolean;
  #timer: NodeJS.Timeout;

  constructor(limits: SilenceTimeouts, silent: () => boolean) {
    this.#timeouts = limits;
    this.#onSilence = silent;
    this.#timer = setTimeout(() => this.#onTimeout(), limits.firstPart);
  }

  /** A part of the answer came. */
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

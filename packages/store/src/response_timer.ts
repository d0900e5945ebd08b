/**
 * Aborts a call whose response makes no progress.
 *
 * How long a whole response takes depends on the network: a megabyte takes over
 * a second at 7 Mbit/s. A short timeout for the whole call would abort such
 * responses again and again, each time after most of the bytes had arrived.
 * @module
 */

/** Maximum milliseconds from the first part of a response to its last. */
const MAX_RESPONSE_TIME = 15_000;

/** Aborts {@link ResponseTimer.signal} when the response takes too long. */
export class ResponseTimer {
  readonly #controller = new AbortController();
  readonly #progressTimeout: number;
  readonly #outerSignal: AbortSignal | undefined;
  readonly #abort = () => this.#controller.abort();
  #progressTimer: NodeJS.Timeout;
  #totalTimer: NodeJS.Timeout | undefined;

  /** Timeouts in milliseconds: until the first part, and between parts. */
  constructor(
    options: {
      firstPartTimeout: number;
      progressTimeout: number;
      signal?: AbortSignal;
    },
  ) {
    this.#progressTimeout = options.progressTimeout;
    this.#outerSignal = options.signal;
    this.#progressTimer = this.#abortAfter(options.firstPartTimeout);
    if (this.#outerSignal?.aborted) this.#abort();
    this.#outerSignal?.addEventListener("abort", this.#abort);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** To be called whenever a part of the response has arrived. */
  recordProgress(): void {
    clearTimeout(this.#progressTimer);
    this.#progressTimer = this.#abortAfter(this.#progressTimeout);
    this.#totalTimer ??= this.#abortAfter(MAX_RESPONSE_TIME);
  }

  stop(): void {
    clearTimeout(this.#progressTimer);
    clearTimeout(this.#totalTimer);
    this.#outerSignal?.removeEventListener("abort", this.#abort);
  }

  #abortAfter(time: number): NodeJS.Timeout {
    return setTimeout(() => {
      const detail = `no progress of the response within ${time} ms`;
      this.#controller.abort(new DOMException(detail, "TimeoutError"));
    }, time);
  }
}

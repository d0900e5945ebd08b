/**
 * Gives a call up that makes no progress.
 *
 * How long a whole answer takes is the link's matter: a megabyte needs over a
 * second at 7 Mbit/s. A bound on the whole call gave such answers up again and
 * again, each time after most of the bytes had come.
 * @module
 */

/** Milliseconds for an answer from its first part to its last. */
const LONGEST_ANSWER = 15_000;

/** Aborts {@link AnswerTimer.signal} when nothing comes for too long. */
export class AnswerTimer {
  readonly #controller = new AbortController();
  readonly #between: number;
  readonly #given: AbortSignal | undefined;
  readonly #giveUp = () => this.#controller.abort();
  #timer: NodeJS.Timeout;
  #longest: NodeJS.Timeout | undefined;

  /** Milliseconds until the `first` part, and `between` parts. */
  constructor(
    options: { first: number; between: number; signal?: AbortSignal },
  ) {
    this.#between = options.between;
    this.#given = options.signal;
    this.#timer = this.#after(options.first);
    if (this.#given?.aborted) this.#giveUp();
    this.#given?.addEventListener("abort", this.#giveUp);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** A part of the answer came. */
  heard(): void {
    clearTimeout(this.#timer);
    this.#timer = this.#after(this.#between);
    this.#longest ??= this.#after(LONGEST_ANSWER);
  }

  end(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#longest);
    this.#given?.removeEventListener("abort", this.#giveUp);
  }

  #after(time: number): NodeJS.Timeout {
    return setTimeout(() => {
      const detail = `no progress of the answer within ${time} ms`;
      this.#controller.abort(new DOMException(detail, "TimeoutError"));
    }, time);
  }
}

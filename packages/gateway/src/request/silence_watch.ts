/**
 * Notices a server that has fallen silent.
 *
 * A server that goes dark, or a connection that went silent, closes nothing. Its
 * callers wait for two seconds, leave, and count the answer as lost; noticed in
 * half of that time the request can still go on at another server.
 * @module
 */

/** Milliseconds of silence that are waited for. */
export type SilenceLimits = {
  /** Until the first part of the answer. */
  first: number;
  /** Between parts. */
  between: number;
};

/** Calls `silent` after a silence; if that returns false, watches on. */
export class SilenceWatch {
  readonly #limits: SilenceLimits;
  readonly #silent: () => boolean;
  #timer: NodeJS.Timeout;

  constructor(limits: SilenceLimits, silent: () => boolean) {
    this.#limits = limits;
    this.#silent = silent;
    this.#timer = setTimeout(() => this.#expired(), limits.first);
  }

  /** A part of the answer came. */
  heard(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#expired(), this.#limits.between);
  }

  end(): void {
    clearTimeout(this.#timer);
  }

  #expired(): void {
    if (!this.#silent()) this.heard();
  }
}

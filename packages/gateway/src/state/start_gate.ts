/**
 * Holds the requests that reach a process before it knows what to do with them.
 *
 * Callers connect as soon as a restarted process listens. Refused then, all who
 * had waited for it would spend their only retry.
 * @module
 */

/** Milliseconds after the start for which requests are held. */
const LONGEST_HOLD = 1000;

/** Opens once, at {@link StartGate.open} or by time. */
export class StartGate {
  readonly opened: Promise<void>;
  #resolve = () => {};
  #timer: NodeJS.Timeout | undefined;

  constructor() {
    this.opened = new Promise((resolve) => this.#resolve = resolve);
  }

  /** The process takes connections from now on. */
  started(): void {
    this.#timer = setTimeout(() => this.open(), LONGEST_HOLD);
  }

  open(): void {
    clearTimeout(this.#timer);
    this.#resolve();
  }
}

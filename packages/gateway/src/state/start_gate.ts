/**
 * Holds the requests that arrive before a process has its state.
 *
 * Callers connect as soon as a restarted process listens. If it refused them,
 * all callers that waited for the restart would use up their only retry.
 * @module
 */

/** Maximum milliseconds after the start for which requests are held. */
const MAXIMUM_HOLD_TIME = 1000;

/** Opens once, by {@link StartGate.open} or after {@link MAXIMUM_HOLD_TIME}. */
export class StartGate {
  readonly opened: Promise<void>;
  #resolve = () => {};
  #timer: NodeJS.Timeout | undefined;

  constructor() {
    this.opened = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Starts the hold time; called when the process starts listening. */
  startTimer(): void {
    this.#timer = setTimeout(() => this.open(), MAXIMUM_HOLD_TIME);
  }

  open(): void {
    clearTimeout(this.#timer);
    this.#resolve();
  }
}

/**
 * Holds the requests that arrive before a process has its state.
 *
 * Callers connect as soon as a restarted process listens. If it refused them,
 * all callers that waited for the restart would use up their only retry.
 * @module
 */

/** Maximum milliseconds after the start for which requests are held. */
const MAXIMUM_HOLD_TIME = 1000;
/**
 * Maximum milliseconds for which requests are held for the state of a peer once
 * the store has been read: the peers may be down as well.
 */
const MAXIMUM_PEER_WAIT = 200;

/** Opens once, by {@link StartGate.open} or after {@link MAXIMUM_HOLD_TIME}. */
export class StartGate {
  readonly opened: Promise<void>;
  #resolve = () => {};
  #timer: NodeJS.Timeout | undefined;
  #isOpeningSoon = false;

  constructor() {
    this.opened = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Starts the hold time; called when the process starts listening. */
  startTimer(): void {
    if (this.#isOpeningSoon) return;
    this.#timer = setTimeout(() => this.open(), MAXIMUM_HOLD_TIME);
  }

  /** Opens soon, unless it is opened before. */
  openSoon(): void {
    if (this.#isOpeningSoon) return;
    this.#isOpeningSoon = true;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.open(), MAXIMUM_PEER_WAIT);
  }

  open(): void {
    this.#isOpeningSoon = true;
    clearTimeout(this.#timer);
    this.#resolve();
  }
}

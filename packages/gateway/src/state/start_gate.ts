/**
 * Holds the requests that reach a process before it knows what to do with them.
 *
 * Callers connect as soon as a restarted process listens, up to 0.25 s before it
 * has read configuration and servers. Refused at once, all who had waited for it
 * (69 in one second) spent their only retry; held for that moment they are
 * served.
 * @module
 */

/**
 * Milliseconds after the start for which requests are held: four times what the
 * two reads took on half a core with all processes starting at once.
 */
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

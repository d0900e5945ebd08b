/**
 * Bounds how late a signal is handled. A process that gets little processor time
 * handles it late, while the operator counts from the moment of sending it.
 * @module
 */

/**
 * Number of turns of the event loop in which a signal that was sent is handled.
 * Another thread may receive it, and pass it on while the loop turns.
 */
const HANDLING_TURNS = 5;

/** The latest turns of the event loop, as a repeated timer sees them. */
export class TurnTimes {
  readonly #turns: number[] = [];

  /** Records a turn; called at short intervals. */
  record(now: number): void {
    this.#turns.push(now);
    if (this.#turns.length > HANDLING_TURNS) this.#turns.shift();
  }

  /**
   * Earliest instant at which a signal that is handled at `now` may have been
   * sent.
   */
  earliestSignal(now: number): number {
    return this.#turns[0] ?? now;
  }
}

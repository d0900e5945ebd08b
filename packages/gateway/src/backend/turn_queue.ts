/** Spreads work over turns of the event loop. @module */

/** Runs one action in each turn of the event loop, in the order of arrival. */
export class TurnQueue {
  readonly #actions: (() => void)[] = [];
  #isScheduled = false;

  /** Runs `action` in a later turn. */
  add(action: () => void): void {
    this.#actions.push(action);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled || this.#actions.length === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#actions.shift()?.();
      this.#schedule();
    });
  }
}

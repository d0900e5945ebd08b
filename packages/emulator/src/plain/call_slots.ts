/** Limits the number of concurrent calls. @module */

/** A counting semaphore that serves waiting calls in order of arrival. */
export class CallSlots {
  #free: number;
  readonly #waiting: (() => void)[] = [];

  constructor(slots: number) {
    this.#free = slots;
  }

  /** Resolves once a slot has been acquired. */
  acquire(): Promise<void> {
    if (this.#free > 0) {
      this.#free -= 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#free += 1;
      return;
    }
    next();
  }
}

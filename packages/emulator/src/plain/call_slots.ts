/** Lets a limited number of calls run at once, in the order of asking. @module */

/** First come, first served. */
export class CallSlots {
  #free: number;
  readonly #waiting: (() => void)[] = [];

  constructor(slots: number) {
    this.#free = slots;
  }

  /** Resolves when a slot is taken. */
  take(): Promise<void> {
    if (this.#free > 0) {
      this.#free -= 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  give(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#free += 1;
      return;
    }
    next();
  }
}

/** The newest era of a service that was restored from older copies. @module */

/** Notices restores by the eras that responses state. */
export class EraTracker {
  #newest: number | undefined;
  readonly #listeners: (() => void)[] = [];

  /** Newest era that a response has stated; 0 before the first one. */
  get newest(): number {
    return this.#newest ?? 0;
  }

  /** Calls `listener` after each restore that is noticed. */
  onRestore(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Records the era of a response. */
  record(era: number): void {
    const before = this.#newest;
    if (before !== undefined && era <= before) return;
    this.#newest = era;
    if (before === undefined) return;
    for (const listener of this.#listeners) listener();
  }
}

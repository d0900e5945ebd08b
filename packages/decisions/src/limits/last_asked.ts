/** When work of each tier was last asked about. @module */

/** One entry for each tier; instants are milliseconds. */
export class LastAsked {
  readonly #asked = new Map<number, number>();

  note(tierRank: number, now: number): void {
    this.#asked.set(tierRank, now);
  }

  /** Whether work of the tier or a higher one was asked about since `instant`. */
  since(instant: number, tierRank: number): boolean {
    for (const [rank, asked] of this.#asked) {
      if (rank <= tierRank && asked >= instant) {
        return true;
      }
    }
    return false;
  }
}

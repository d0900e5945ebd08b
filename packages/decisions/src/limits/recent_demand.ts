/** Records when work of each tier last asked for capacity. @module */

/** One instant for each tier, in milliseconds. */
export class RecentDemand {
  readonly #lastDemand = new Map<number, number>();

  record(tierRank: number, now: number): void {
    this.#lastDemand.set(tierRank, now);
  }

  /**
   * Whether work of the tier or a higher one has asked for capacity since
   * `instant`.
   */
  hasDemandSince(instant: number, tierRank: number): boolean {
    for (const [rank, lastDemand] of this.#lastDemand) {
      if (rank <= tierRank && lastDemand >= instant) {
        return true;
      }
    }
    return false;
  }
}

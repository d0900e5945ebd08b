/**
 * Keeps like requests from being sent from one data centre to another and back
 * at the same time, and keeps a direction in use from changing at each small
 * change of demand.
 * @module
 */

/**
 * Milliseconds for which a direction stays open after its last use and the
 * reverse one closed; longer than a usual run, so that requests in both
 * directions do not run at the same time.
 */
const DIRECTION_TIME = 1000;

/** Last uses of directions by priority class. */
export class TransferDirections {
  readonly #usedAt = new Map<string, number>();

  record(
    priorityClass: string,
    from: string,
    to: string,
    now: number,
  ): void {
    this.#usedAt.set(keyOf(priorityClass, from, to), now);
  }

  /** Whether the direction was used lately. */
  isOpen(
    priorityClass: string,
    from: string,
    to: string,
    now: number,
  ): boolean {
    const usedAt = this.#usedAt.get(keyOf(priorityClass, from, to));
    return usedAt !== undefined && now - usedAt < DIRECTION_TIME;
  }

  /**
   * Forgets transfers to a data centre that has no servers any more: its
   * callers depend on the data centres that sent requests there.
   */
  forgetTo(dataCentre: string): void {
    for (const key of this.#usedAt.keys()) {
      if (key.endsWith(` ${dataCentre}`)) this.#usedAt.delete(key);
    }
  }
}

function keyOf(priorityClass: string, from: string, to: string): string {
  return `${priorityClass} ${from} ${to}`;
}

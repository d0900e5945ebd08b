/** Pauses that the callers of a server's requests accept. @module */

/** Accepted pause in milliseconds for which prefill is limited by default. */
const REFERENCE_PAUSE = 250;

/** Accepted pauses of the runs of one server. */
export class PauseGoals {
  /** Number of runs by accepted pause; routes state few different ones. */
  readonly #counts = new Map<number, number>();

  add(goal: number | undefined): void {
    if (goal === undefined) return;
    this.#counts.set(goal, (this.#counts.get(goal) ?? 0) + 1);
  }

  remove(goal: number | undefined): void {
    if (goal === undefined) return;
    const count = (this.#counts.get(goal) ?? 0) - 1;
    if (count > 0) this.#counts.set(goal, count);
    else this.#counts.delete(goal);
  }

  /** Shortest pause accepted by a run or by `goal`, if any states one. */
  shortest(goal: number | undefined): number | undefined {
    let shortest = goal;
    for (const other of this.#counts.keys()) {
      if (shortest === undefined || other < shortest) shortest = other;
    }
    return shortest;
  }
}

/** Lower bound of the factor: an accepted pause of 0 must not stop all prefill. */
const MINIMUM_FACTOR = 0.1;

/** Factor of the pending prefill that an accepted pause allows. */
export function pauseFactor(goal: number | undefined): number {
  if (goal === undefined) return 1;
  return Math.max(MINIMUM_FACTOR, goal / REFERENCE_PAUSE);
}

/**
 * A number of things in use that is raised while they are served well and cut
 * when they are not: multiplicative decrease from what was in use, so that a cut
 * bites at once even if the bound stood far above it.
 *
 * After a cut the things above the bound still have to finish. Until they have,
 * bad times are the old bound's and not the new one's, so no second cut is made;
 * without this, a bound that sits before answers of a minute falls to its floor
 * at every overload.
 * @module
 */

/** Growth per good window until the first cut: finds the size in few windows. */
const SEARCH_GROWTH = 1.5;
/** Growth per good window afterwards: a tenth, so noise costs at most that. */
const STEADY_GROWTH = 1.1;
/** Deepest cut of one window: a fifth of the speed is followed in five. */
const DEEPEST_CUT = 0.6;
const SHALLOWEST_CUT = 0.95;

/** See the module. */
export class AdaptiveBound {
  readonly #least: number;
  readonly #most: number;
  #value: number;
  #highestUse = 0;
  #searching = true;

  constructor(
    options: { initial: number; least: number; most: number },
  ) {
    this.#value = options.initial;
    this.#least = options.least;
    this.#most = options.most;
  }

  get value(): number {
    return this.#value;
  }

  /** Notes how much is in use, so that a bound nobody needs does not grow. */
  used(amount: number): void {
    this.#highestUse = Math.max(this.#highestUse, amount);
  }

  /** Ends a window in which all was well. `step` is the smallest growth. */
  raise(step: number): void {
    const binding = this.#highestUse + step > this.#value;
    this.#highestUse = 0;
    if (!binding) {
      return;
    }
    const growth = this.#searching ? SEARCH_GROWTH : STEADY_GROWTH;
    const raised = Math.max(this.#value + step, this.#value * growth);
    this.#value = Math.min(this.#most, raised);
  }

  /** Ends a window that was too slow by `excess` (2: twice the goal). */
  cut(excess: number, inUse: number): void {
    this.#highestUse = 0;
    this.#searching = false;
    if (inUse > this.#value) {
      return;
    }
    const factor = clamp(1 / excess, DEEPEST_CUT, SHALLOWEST_CUT);
    this.#value = Math.max(this.#least, inUse * factor);
  }

  /** Ends a window that says nothing. */
  hold(): void {
    this.#highestUse = 0;
  }
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

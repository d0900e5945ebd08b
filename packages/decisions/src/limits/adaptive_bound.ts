/**
 * A number of things in use that is raised while they are served well and cut
 * when they are not. A cut starts from what was in use, so that it bites at once
 * even if the bound stood far above it.
 *
 * After a cut the things above the bound still have to finish. Until they have,
 * bad times are the old bound's and not the new one's, so no second cut is made;
 * without this, a bound that sits before answers of a minute falls to its floor
 * at every overload.
 *
 * An engine has bounds of its own, on sequences and on the memory for tokens, and
 * lets work wait inside beyond them although its streams run well. Once it has
 * been seen to do so, the bound stays below that point and probes it slowly.
 * @module
 */

/** Deepest cut of one window: a fifth of the speed is followed in four. */
const DEEPEST_CUT = 0.6;
const SHALLOWEST_CUT = 0.95;

/**
 * Growth per window beyond the point at which work waited inside the engine: a
 * tenth in half a minute. Each probe that finds the same point holds up what is
 * behind it until an answer has finished.
 */
const PROBING_GROWTH = 0.002;

/** Settings of an {@link AdaptiveBound}. */
export type AdaptiveBoundOptions = {
  initial: number;
  least: number;
  most: number;
  /** Growth of a probe at least; 0 by default. */
  probingStep?: number;
};

/** See the module. */
export class AdaptiveBound {
  readonly #least: number;
  readonly #most: number;
  readonly #probingStep: number;
  #value: number;
  #ceiling = Infinity;
  #highestUse = 0;
  #reached = false;

  constructor(options: AdaptiveBoundOptions) {
    this.#probingStep = options.probingStep ?? 0;
    this.#value = options.initial;
    this.#least = options.least;
    this.#most = options.most;
  }

  get value(): number {
    return this.#value;
  }

  /** Notes how much is in use: a cut starts from there. */
  used(amount: number): void {
    this.#highestUse = Math.max(this.#highestUse, amount);
  }

  /** Notes that the bound refused work: one that refuses none does not grow. */
  refused(): void {
    this.#reached = true;
  }

  /**
   * Ends a window that left `headroom` of the goal, from 0 to 1. Grows by the
   * headroom and at least by `step`, and only if the bound was reached: a bound
   * ten times too small is found in half a dozen windows, without overshooting
   * where the time grows no faster than what is in use.
   */
  raise(headroom: number, step: number, inUse: number): void {
    const reached = this.#reached;
    this.#endWindow(inUse);
    if (reached) {
      const probe = this.#ceiling * PROBING_GROWTH;
      this.#ceiling += Math.max(this.#probingStep, probe);
      const growth = Math.max(step, this.#value * headroom);
      const raised = this.#value + growth;
      this.#value = Math.min(this.#most, this.#ceiling, raised);
    }
  }

  /** Ends a window that was too slow by `excess` (2: twice the goal). */
  cut(excess: number, inUse: number): void {
    const used = Math.min(this.#value, Math.max(this.#highestUse, inUse));
    this.#endWindow(inUse);
    if (inUse <= this.#value) {
      const factor = clamp(1 / excess, DEEPEST_CUT, SHALLOWEST_CUT);
      this.#value = Math.max(this.#least, used * factor);
    }
  }

  /** The engine lets work wait inside it with `inUse` served. */
  blocked(inUse: number): void {
    this.#value = Math.max(this.#least, inUse);
    this.#ceiling = this.#value;
  }

  /** Ends a window that calls for no change. */
  hold(inUse: number): void {
    this.#endWindow(inUse);
  }

  #endWindow(inUse: number): void {
    this.#highestUse = inUse;
    this.#reached = false;
  }
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

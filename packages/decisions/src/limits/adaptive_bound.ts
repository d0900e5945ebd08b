/**
 * A bound on an amount in use, such as sequences or tokens. It is raised while
 * the work is served fast enough and cut when it is not. A cut starts from the
 * amount in use, so that it takes effect at once even if the bound was far
 * above it.
 *
 * After a cut, the work above the new bound still has to finish. Until it has,
 * slow times are caused by the old bound, so no second cut is made. Otherwise a
 * bound on responses that take a minute would fall to its minimum at every
 * overload.
 *
 * An engine has internal bounds on sequences and on memory for tokens. Work
 * beyond them waits inside the engine although the running streams stay fast.
 * Once this has been seen, the bound stays below that point and probes it
 * slowly.
 * @module
 */

/**
 * Factors of the strongest and the weakest cut in one window. With the
 * strongest, a drop to a fifth of the speed is followed within four windows.
 */
const MIN_CUT_FACTOR = 0.6;
const MAX_CUT_FACTOR = 0.95;

/**
 * Growth per window, as a fraction, beyond the point at which work waited
 * inside the engine; it adds up to a tenth in half a minute. Each probe that
 * reaches this point again delays the work behind it until a response has
 * finished.
 */
const PROBING_GROWTH = 0.002;

/** Options of an {@link AdaptiveBound}. */
export type AdaptiveBoundOptions = {
  initial: number;
  min: number;
  max: number;
  /** Minimum growth of a probe; 0 by default. */
  probingStep?: number;
};

export class AdaptiveBound {
  readonly #min: number;
  readonly #max: number;
  readonly #probingStep: number;
  #value: number;
  #ceiling = Infinity;
  #highestUse = 0;
  #refusedWork = false;

  constructor(options: AdaptiveBoundOptions) {
    this.#probingStep = options.probingStep ?? 0;
    this.#value = options.initial;
    this.#min = options.min;
    this.#max = options.max;
  }

  get value(): number {
    return this.#value;
  }

  /** Records the amount in use; the next cut starts from the highest one. */
  recordUse(amount: number): void {
    this.#highestUse = Math.max(this.#highestUse, amount);
  }

  /**
   * Records that the bound refused work; a bound that refused none in a window
   * does not grow.
   */
  recordRefusal(): void {
    this.#refusedWork = true;
  }

  /**
   * Ends a window whose time was below the goal by the share `headroom`, from 0
   * to 1.
   *
   * The bound grows by the same share, but by at least `step`, and only if it
   * refused work. A bound that is ten times too low recovers within half a
   * dozen windows, and it does not overshoot as long as the time grows no
   * faster than the amount in use.
   */
  raise(headroom: number, step: number, inUse: number): void {
    const refusedWork = this.#refusedWork;
    this.#endWindow(inUse);
    if (refusedWork) {
      const probe = this.#ceiling * PROBING_GROWTH;
      this.#ceiling += Math.max(this.#probingStep, probe);
      const growth = Math.max(step, this.#value * headroom);
      const raised = this.#value + growth;
      this.#value = Math.min(this.#max, this.#ceiling, raised);
    }
  }

  /**
   * Ends a window that was too slow by the factor `excess` (2: twice the goal).
   */
  cut(excess: number, inUse: number): void {
    const used = Math.min(this.#value, Math.max(this.#highestUse, inUse));
    this.#endWindow(inUse);
    if (inUse <= this.#value) {
      const factor = clamp(1 / excess, MIN_CUT_FACTOR, MAX_CUT_FACTOR);
      this.#value = Math.max(this.#min, used * factor);
    }
  }

  /**
   * Caps the bound at `inUse`, the amount served when the engine let further
   * work wait inside it.
   */
  capAt(inUse: number): void {
    this.#value = Math.max(this.#min, inUse);
    this.#ceiling = this.#value;
  }

  /** Ends a window without changing the bound. */
  hold(inUse: number): void {
    this.#endWindow(inUse);
  }

  #endWindow(inUse: number): void {
    this.#highestUse = inUse;
    this.#refusedWork = false;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

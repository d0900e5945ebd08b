/**
 * Decides after each measurement window whether bounds are cut, raised or held.
 * A single slow window may be caused by a garbage collection or a lost packet,
 * so a cut takes two in a row, unless the first already took four times the
 * goal. The faster of the two determines the strength of the cut.
 * @module
 */
import type { AdaptiveBound } from "./adaptive_bound.ts";

/**
 * Bounds grow only while the time is below this share of the goal, so that they
 * don't oscillate around it.
 */
const GROWTH_THRESHOLD = 0.9;
/** Factor of the goal from which a single window causes a cut. */
const IMMEDIATE_CUT_EXCESS = 4;

/** A bound with its minimum growth and the amount in use. */
export type ControlledBound = {
  bound: AdaptiveBound;
  step: number;
  inUse: number;
};

export class BoundController {
  #previousExcess = 0;

  /**
   * Ends a window that took `time` with the goal `goal`, both in the same unit.
   */
  endWindow(time: number, goal: number, bounds: ControlledBound[]): void {
    const excess = time / goal;
    const confirmedExcess = excess >= IMMEDIATE_CUT_EXCESS
      ? excess
      : Math.min(excess, this.#previousExcess);
    this.#previousExcess = excess;
    for (const { bound, step, inUse } of bounds) {
      if (confirmedExcess > 1) {
        bound.cut(confirmedExcess, inUse);
      } else if (excess < GROWTH_THRESHOLD) {
        bound.raise(1 - excess, step, inUse);
      } else {
        bound.hold(inUse);
      }
    }
  }
}

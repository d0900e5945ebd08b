/**
 * Turns measured times into cuts and raises of bounds, one window at a time.
 * A single bad window may be a garbage collection or a lost packet, so two in a
 * row are needed unless the first is already four times the goal, and the better
 * of the two says how deep to cut.
 * @module
 */
import type { AdaptiveBound } from "./adaptive_bound.ts";

/** Growth stops this far below the goal, so the bound does not swing about it. */
const ROOM_TO_GROW = 0.9;
const ONE_WINDOW_EXCESS = 4;

/** A bound with its smallest growth and what is in use of it. */
export type JudgedBound = {
  bound: AdaptiveBound;
  step: number;
  inUse: number;
};

/** See the module. */
export class WindowJudge {
  #previousExcess = 0;

  /** Ends a window whose time was `time` against `goal`, in the same unit. */
  judge(time: number, goal: number, bounds: JudgedBound[]): void {
    const excess = time / goal;
    const certain = excess >= ONE_WINDOW_EXCESS
      ? excess
      : Math.min(excess, this.#previousExcess);
    this.#previousExcess = excess;
    for (const { bound, step, inUse } of bounds) {
      if (certain > 1) {
        bound.cut(certain, inUse);
      } else if (excess < ROOM_TO_GROW) {
        bound.raise(1 - excess, step, inUse);
      } else {
        bound.hold(inUse);
      }
    }
  }
}

/**
 * The time between tokens that an engine is held to.
 *
 * An engine that misses the goal with hardly anything to do is held to twice its
 * own unloaded time instead: a smaller batch would waste it and still miss the
 * goal. Trials of one and a half, two and three times are in
 * docs/design/queueing-and-limits.md.
 * @module
 */
import { RecentMinimum } from "./recent_minimum.ts";

/** With as few as these an engine shows its unloaded time. */
export const UNLOADED_SEQUENCES = 4;
const UNLOADED_TOLERANCE = 2;

/** Times are milliseconds. */
export class AttainableGoal {
  readonly #goal: number;
  readonly #unloaded = new RecentMinimum();

  constructor(goal: number) {
    this.#goal = goal;
  }

  get value(): number {
    const unloaded = this.#unloaded.value ?? 0;
    return Math.max(this.#goal, unloaded * UNLOADED_TOLERANCE);
  }

  /** A loaded engine's time says only that the unloaded one is no longer. */
  observe(time: number, running: number, now: number): void {
    const known = this.#unloaded.value ?? 0;
    if (running <= UNLOADED_SEQUENCES || time < known) {
      this.#unloaded.observe(time, now);
    }
  }
}

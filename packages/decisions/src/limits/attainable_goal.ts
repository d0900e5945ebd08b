/**
 * The goal for the time between tokens that an engine is held to.
 *
 * An engine that misses the configured goal although it is almost idle is held
 * to twice its own unloaded time instead: a smaller batch would waste the
 * engine and still miss the goal. docs/design/queueing-and-limits.md compares
 * factors of one and a half, two and three.
 * @module
 */
import { RecentMinimum } from "./recent_minimum.ts";

/** Up to this many sequences, an engine runs at its unloaded speed. */
export const MAX_UNLOADED_SEQUENCES = 4;
/** Factor of the unloaded time that is tolerated. */
const UNLOADED_TOLERANCE = 2;

/** All times are in milliseconds. */
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

  /**
   * Observes a window's time between tokens. The time of a loaded engine is
   * only an upper bound of the unloaded one.
   */
  observe(time: number, running: number, now: number): void {
    const known = this.#unloaded.value ?? 0;
    if (running <= MAX_UNLOADED_SEQUENCES || time < known) {
      this.#unloaded.observe(time, now);
    }
  }
}

/** Pauses between calls to a store that returns early without changes. @module */
import { isLater } from "@sycamorepulley/decisions";
import type { StorePosition } from "@sycamorepulley/decisions";

/** Milliseconds that a call without news takes at a store that holds it. */
const HELD_TIME = 50;
/** Milliseconds of the first pause and the longest one. */
const INITIAL_PAUSE = 100;
const MAXIMUM_PAUSE = 800;

/** A call that succeeded: where it led, and how long it took. */
type SucceededCall = {
  /** Undefined if all keys have to be read. */
  position: StorePosition | undefined;
  duration: number;
};

/** Counts the calls in a row that were neither held nor had news. */
export class CallPacing {
  #newest: StorePosition | undefined;
  #callsInVain = 0;

  /** Returns the milliseconds to wait after a call. */
  delayAfter({ position, duration }: SucceededCall): number {
    const hasNews = position !== undefined &&
      (this.#newest === undefined || isLater(position, this.#newest));
    if (hasNews) this.#newest = position;
    if (hasNews || duration >= HELD_TIME) {
      this.#callsInVain = 0;
      return 0;
    }
    this.#callsInVain++;
    // A single one is usual: a watch that catches up, or a compaction.
    if (this.#callsInVain === 1) return 0;
    const pause = INITIAL_PAUSE * 2 ** (this.#callsInVain - 2);
    return Math.min(MAXIMUM_PAUSE, pause);
  }
}

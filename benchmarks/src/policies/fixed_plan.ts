/** Ablation: the same number of reservations for every request, at once. @module */
import type { PlannedReservations } from "@sycamorepulley/decisions";

/** Replacements for refused reservations end here. */
const MOST_PLACEMENTS = 12;

/** Takes the place of a `ReservationPlan`. */
export class FixedPlan {
  readonly nextAt = undefined;
  readonly #wanted: number;
  #held = 0;
  #placed = 0;

  constructor(wanted: number) {
    this.#wanted = wanted;
  }

  next(): PlannedReservations {
    const missing = this.#wanted - this.#held;
    const count = Math.max(
      0,
      Math.min(missing, MOST_PLACEMENTS - this.#placed),
    );
    this.#held += count;
    this.#placed += count;
    return { count, reach: "region" };
  }

  markLost(count = 1): void {
    this.#held = Math.max(0, this.#held - count);
  }

  get held(): number {
    return this.#held;
  }

  get exhausted(): boolean {
    return this.#held === 0 && this.#placed >= MOST_PLACEMENTS;
  }
}

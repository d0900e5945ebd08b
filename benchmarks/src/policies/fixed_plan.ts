/**
 * Ablation of the planned waves: every request places the same number of
 * reservations at once.
 * @module
 */
import type { PlannedReservations } from "@sycamorepulley/decisions";

/** Maximum number of reservations placed for a request, with replacements. */
const MAX_PLACEMENTS = 12;

/** Replaces a `ReservationPlan`. */
export class FixedPlan {
  readonly nextAt = undefined;
  readonly #reservations: number;
  #held = 0;
  #placed = 0;

  constructor(reservations: number) {
    this.#reservations = reservations;
  }

  next(): PlannedReservations {
    const missing = this.#reservations - this.#held;
    const count = Math.max(
      0,
      Math.min(missing, MAX_PLACEMENTS - this.#placed),
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
    return this.#held === 0 && this.#placed >= MAX_PLACEMENTS;
  }
}

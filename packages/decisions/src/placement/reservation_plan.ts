/**
 * Decides how many sidecars a request sends reservations to, and when.
 *
 * One reservation per request is not enough under load, since its server may be
 * the slow one; six at once for every request exceed a node's budget for
 * control traffic. So a request starts with few reservations and adds more in
 * waves while it has no grant. If there is free capacity, the first grant comes
 * within a round trip and no second wave is sent.
 *
 * A round trip within a region takes 1-2 ms, so if a wave has brought no grant
 * after 4 ms, its servers are full. The maximum is 6 because more reservations
 * don't help (docs/design/placement.md).
 *
 * A request with a prefix starts with the prefix's own server and waits longer
 * for it: a full server frees a slot about every 100 ms, and 60 ms are 5 % of
 * the goal for the first token. At a load of twice the capacity, 18 % of the
 * prefill is repeated with these waves and 25 % with waves at 25, 50 and 75 ms;
 * later waves cost the second tier goodput.
 *
 * Other regions are about 100 ms away. They are included once the own region
 * has brought no grant for 250 ms, or 500 ms for a request with a prefix.
 * @module
 */
import type { Reach } from "./distance.ts";

/**
 * Maximum number of reservations that a request holds at a time within its
 * region.
 */
export const MAX_RESERVATIONS = 6;

/**
 * Maximum number of reservations sent for one request, including replacements.
 */
export const MAX_PLACEMENTS = 12;

/** Milliseconds without a grant before other regions are included. */
export const OTHER_REGIONS_DELAY = 250;

/**
 * The same for a request with a prefix, which stays in its own region longer.
 */
const PREFIX_OTHER_REGIONS_DELAY = 500;

type Wave = { delay: number; reservations: number; reach: Reach };

const WAVES: readonly Wave[] = [
  { delay: 0, reservations: 2, reach: "dataCentre" },
  { delay: 4, reservations: 4, reach: "region" },
  { delay: 12, reservations: MAX_RESERVATIONS, reach: "region" },
  {
    delay: OTHER_REGIONS_DELAY,
    reservations: MAX_RESERVATIONS + 1,
    reach: "everywhere",
  },
];

const PREFIX_WAVES: readonly Wave[] = [
  { delay: 0, reservations: 1, reach: "region" },
  { delay: 60, reservations: 2, reach: "region" },
  { delay: 150, reservations: 4, reach: "region" },
  { delay: 300, reservations: MAX_RESERVATIONS, reach: "region" },
  {
    delay: PREFIX_OTHER_REGIONS_DELAY,
    reservations: MAX_RESERVATIONS + 1,
    reach: "everywhere",
  },
];

/** The reservations to send now. */
export type PlannedReservations = { count: number; reach: Reach };

/** The reservations of one request over time. */
export class ReservationPlan {
  readonly #arrived: number;
  readonly #waves: readonly Wave[];
  #wave = -1;
  #held = 0;
  #placed = 0;

  constructor(
    options: {
      prefixKey?: string | undefined;
      /** When the request arrived, in milliseconds. */
      arrived: number;
    },
  ) {
    this.#arrived = options.arrived;
    this.#waves = options.prefixKey === undefined ? WAVES : PREFIX_WAVES;
  }

  /** Returns the reservations that are due by `now` and counts them as sent. */
  next(now: number): PlannedReservations {
    while (this.nextAt !== undefined && this.nextAt <= now) this.#wave++;
    const wave = this.#waves[Math.max(this.#wave, 0)]!;
    const missing = Math.min(
      wave.reservations - this.#held,
      MAX_PLACEMENTS - this.#placed,
    );
    const count = Math.max(missing, 0);
    this.#held += count;
    this.#placed += count;
    return { count, reach: wave.reach };
  }

  /** When the next wave is due; `undefined` after the last one. */
  get nextAt(): number | undefined {
    const wave = this.#waves[this.#wave + 1];
    return wave === undefined ? undefined : this.#arrived + wave.delay;
  }

  /**
   * Records that `count` reservations were refused, lost their link or found no
   * server, so that `next` replaces them. The caller must first get permission
   * from the service's retry budget.
   */
  markLost(count = 1): void {
    this.#held = Math.max(this.#held - count, 0);
  }

  /** Number of reservations currently held. */
  get held(): number {
    return this.#held;
  }

  /** Whether no reservation is held and no further one will be sent. */
  get exhausted(): boolean {
    return this.#held === 0 && this.#placed >= MAX_PLACEMENTS;
  }
}

/**
 * How many sidecars a request asks for a place, and when.
 *
 * Answers both a calm fleet and a full one. One reservation per request is not
 * enough under load (its server may be the slow one); six at once for every
 * request exceed what a node may send. So few are placed at first and more as
 * the request goes without a grant; where there is room, the first grant comes
 * within a round trip and no second wave is sent.
 *
 * Figures: a round trip within a region is 1-2 ms, so a wave that has brought
 * no grant after 4 ms found its servers full. The total is 6, since more gain
 * nothing (docs/design/placement.md). A request with a prefix starts with the
 * prefix's own server and gives it longer: a full server frees a place about
 * every 100 ms, and 60 ms are 5 % of a first token's goal. In the bench at twice
 * the capacity, waves at 25, 50 and 75 ms left 25 % of the prefill repeated,
 * these 18 %; later ones cost the second tier goodput. Other regions, about 100
 * ms away, are asked once the own region gave nothing for 250 ms, or 500.
 * @module
 */
import type { Reach } from "./distance.ts";

/** Reservations that a request holds at most at a time. */
export const MOST_RESERVATIONS = 6;

/** Reservations placed for one request in all, replacements included. */
export const MOST_PLACEMENTS = 12;

/** Milliseconds without a grant before other regions are asked. */
export const OTHER_REGIONS_AFTER = 250;

/** The same for a request with a prefix, whose own region is asked longer. */
const PREFIX_OTHER_REGIONS_AFTER = 500;

type Wave = { after: number; reservations: number; reach: Reach };

const WAVES: readonly Wave[] = [
  { after: 0, reservations: 2, reach: "dataCentre" },
  { after: 4, reservations: 4, reach: "region" },
  { after: 12, reservations: MOST_RESERVATIONS, reach: "region" },
  {
    after: OTHER_REGIONS_AFTER,
    reservations: MOST_RESERVATIONS + 1,
    reach: "everywhere",
  },
];

const PREFIX_WAVES: readonly Wave[] = [
  { after: 0, reservations: 1, reach: "region" },
  { after: 60, reservations: 2, reach: "region" },
  { after: 150, reservations: 4, reach: "region" },
  { after: 300, reservations: MOST_RESERVATIONS, reach: "region" },
  {
    after: PREFIX_OTHER_REGIONS_AFTER,
    reservations: MOST_RESERVATIONS + 1,
    reach: "everywhere",
  },
];

/** What to place now. */
export type PlannedReservations = { count: number; reach: Reach };

/** One request's reservations over time. */
export class ReservationPlan {
  readonly #arrived: number;
  readonly #waves: readonly Wave[];
  #wave = -1;
  #held = 0;
  #placed = 0;

  constructor(
    options: {
      prefixKey?: string | undefined;
      /** When the request arrived, milliseconds. */
      arrived: number;
    },
  ) {
    this.#arrived = options.arrived;
    this.#waves = options.prefixKey === undefined ? WAVES : PREFIX_WAVES;
  }

  /** Reservations due by `now`; they count as placed from here on. */
  next(now: number): PlannedReservations {
    while (this.nextAt !== undefined && this.nextAt <= now) this.#wave++;
    const wave = this.#waves[Math.max(this.#wave, 0)]!;
    const missing = Math.min(
      wave.reservations - this.#held,
      MOST_PLACEMENTS - this.#placed,
    );
    const count = Math.max(missing, 0);
    this.#held += count;
    this.#placed += count;
    return { count, reach: wave.reach };
  }

  /** When the next wave is due; undefined after the last one. */
  get nextAt(): number | undefined {
    const wave = this.#waves[this.#wave + 1];
    return wave === undefined ? undefined : this.#arrived + wave.after;
  }

  /**
   * States that reservations were refused, cut or found no server. `next` then
   * places others, for which the service's retry budget is asked first.
   */
  markLost(count = 1): void {
    this.#held = Math.max(this.#held - count, 0);
  }

  /** Reservations in place. */
  get held(): number {
    return this.#held;
  }

  /** True when no further reservation will be placed and none is held. */
  get exhausted(): boolean {
    return this.#held === 0 && this.#placed >= MOST_PLACEMENTS;
  }
}

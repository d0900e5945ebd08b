/** Decisions on reservations, sent to the entries that made them. @module */

/** Why a reservation was refused or lost its grant. */
export type ReservationRefusalReason =
  | "queue_full"
  | "evicted"
  | "deadline"
  | "grant_lapsed"
  | "leaving"
  | "unhealthy"
  | "version_stopped";

/**
 * `id` is the reservation's, `grant` the number that redeems the grant, `lapse`
 * the milliseconds after which the grant expires.
 */
export type ReservationDecision =
  | { kind: "grant"; id: string; grant: number; lapse: number }
  | { kind: "refuse"; id: string; reason: ReservationRefusalReason };

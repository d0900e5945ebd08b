/** What the grant desk tells the entry that made a reservation. @module */

/** Why a reservation ended without a dispatch. */
export type ReservationRefusalReason =
  | "queue_full"
  | "evicted"
  | "deadline"
  | "grant_lapsed"
  | "leaving"
  | "unhealthy"
  | "version_stopped";

/** `lapse` is milliseconds; `id` is the reservation's. */
export type ReservationDecision =
  | { kind: "grant"; id: string; grant: number; lapse: number }
  | { kind: "refuse"; id: string; reason: ReservationRefusalReason };

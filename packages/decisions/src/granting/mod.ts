/** Reservations, grants and their redemption at the sidecar. @module */
export {
  GRANT_TIMEOUT,
  ReservationScheduler,
} from "./reservation_scheduler.ts";
export type { Redemption } from "./reservation_scheduler.ts";
export type {
  ReservationDecision,
  ReservationRefusalReason,
} from "./reservation_decision.ts";

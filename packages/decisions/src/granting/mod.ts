/** Schedules reservations at the sidecar of a backend server. @module */
export {
  GRANT_TIMEOUT,
  ReservationScheduler,
} from "./reservation_scheduler.ts";
export type { Redemption } from "./reservation_scheduler.ts";
export type {
  ReservationDecision,
  ReservationRefusalReason,
} from "./reservation_decision.ts";

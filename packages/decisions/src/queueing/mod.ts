/** Admission, ordering and eviction of waiting reservations. @module */
export { WaitingQueue } from "./waiting_queue.ts";
export type { WaitingQueueOptions } from "./waiting_queue.ts";
export type {
  Cost,
  OfferResult,
  WaitingReservation,
} from "./waiting_reservation.ts";

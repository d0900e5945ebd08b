/** Chooses the sidecars that a request's reservations are sent to. @module */
export { LOAD_REPORT_TIMEOUT } from "./backend_server.ts";
export type { ObservedLoad } from "./backend_server.ts";
export { BackendServerSet, FULL_MESH_LIMIT } from "./backend_server_set.ts";
export type { ChoiceOptions, SheddingDecision } from "./backend_server_set.ts";
export type { Reach, RegionOf } from "./distance.ts";
export { hashText } from "./hash_text.ts";
export type { HashText } from "./hash_text.ts";
export {
  MAX_PLACEMENTS,
  MAX_RESERVATIONS,
  OTHER_REGIONS_DELAY,
  ReservationPlan,
} from "./reservation_plan.ts";
export type { PlannedReservations } from "./reservation_plan.ts";

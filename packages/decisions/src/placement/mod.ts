/** Where a request's reservations go. @module */
export { LOAD_FRESHNESS } from "./backend_server.ts";
export type { ObservedLoad } from "./backend_server.ts";
export { BackendServerSet, FULL_MESH_LIMIT } from "./backend_server_set.ts";
export type { ChoiceOptions, SheddingVerdict } from "./backend_server_set.ts";
export type { Reach, RegionOf } from "./distance.ts";
export { hashText } from "./hash_text.ts";
export type { HashText } from "./hash_text.ts";
export {
  MOST_PLACEMENTS,
  MOST_RESERVATIONS,
  OTHER_REGIONS_AFTER,
  ReservationPlan,
} from "./reservation_plan.ts";
export type { PlannedReservations } from "./reservation_plan.ts";

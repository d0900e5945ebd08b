/** Directory of the backend servers that may be sent requests. @module */
export { Evacuations } from "./evacuations.ts";
export type { EvacuationChange } from "./evacuations.ts";
export { ServerDirectory } from "./server_directory.ts";
export {
  addressOf,
  incarnationOf,
  newestByAddress,
  startTimeOf,
} from "./server_record.ts";
export { FIRST_POSITION, isLater, laterOf } from "./store_position.ts";
export type { StorePosition } from "./store_position.ts";
export type {
  ServerChange,
  ServerRecord,
  ServerState,
} from "./server_record.ts";

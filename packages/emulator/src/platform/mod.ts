/** Emulated services of the platform, with switchable faults. @module */
export { startKeyValueStore } from "./key_value_service.ts";
export { startInstanceList } from "./instance_list_service.ts";
export { faultsSchema, listFaultsSchema } from "./faults.ts";
export type { Faults, ListFaults } from "./faults.ts";
export type { CallCounts } from "./call_counter.ts";
export type { StartedServer, StartOptions } from "./faulty_server.ts";

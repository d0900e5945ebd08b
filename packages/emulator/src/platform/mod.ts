/** Emulated platform services with faults that can be switched on. @module */
export { startKeyValueStore } from "./key_value_service.ts";
export { startInstanceList } from "./instance_list_service.ts";
export {
  instanceListFaultsSchema,
  platformFaultsSchema,
} from "./platform_faults.ts";
export type { InstanceListFaults, PlatformFaults } from "./platform_faults.ts";
export type { CallCounts } from "./call_counter.ts";
export type { StartedService, StartOptions } from "./fault_injecting_server.ts";

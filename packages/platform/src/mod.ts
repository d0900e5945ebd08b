/** The platform's services: abstract classes and their HTTP implementations. @module */
export { KeyValueStore } from "./key_value_store.ts";
export type { Entry, SwapOutcome } from "./key_value_store.ts";
export { InstanceList, instanceSchema } from "./instance_list.ts";
export type { Instance } from "./instance_list.ts";
export type { PlatformError } from "./platform_error.ts";

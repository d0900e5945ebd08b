/** What commands work with. @module */
import type { InstanceList, KeyValueStore } from "@sycamorepulley/store";
import { UsageError } from "./output/command_result.ts";
import type { StatusSource } from "./fleet/status_source.ts";

/** Services are absent unless their address is known. */
export type Context = {
  store?: KeyValueStore;
  instanceList?: InstanceList;
  statusSource: StatusSource;
  /** Milliseconds since 1970. */
  now: () => number;
};

/** The key-value service, which the command can't do without. */
export function requiredStore(context: Context): KeyValueStore {
  if (context.store === undefined) {
    throw new UsageError(
      "where is the key-value service? Give --store URL, set " +
        "SYCAMOREPULLEY_STORE, or write store in the settings file",
    );
  }
  return context.store;
}

/** The instance list, which the command can't do without. */
export function requiredInstanceList(context: Context): InstanceList {
  if (context.instanceList === undefined) {
    throw new UsageError(
      "where is the instance list? Give --instances URL, set " +
        "SYCAMOREPULLEY_INSTANCES, or write instances in the settings file",
    );
  }
  return context.instanceList;
}

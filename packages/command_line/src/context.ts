/** The services and the clock that commands use. @module */
import type { InstanceList, KeyValueStore } from "@sycamorepulley/store";
import { UsageError } from "./output/command_result.ts";
import type { StatusSource } from "./fleet/status_source.ts";

/** What a command uses; services without a configured address are absent. */
export type Context = {
  store?: KeyValueStore;
  instanceList?: InstanceList;
  statusSource: StatusSource;
  /** Milliseconds since 1970. */
  now: () => number;
};

/** The key-value service; throws a usage error if its address is missing. */
export function requireStore(context: Context): KeyValueStore {
  if (context.store === undefined) {
    throw new UsageError(
      "the key-value service's address is missing: give --store URL, set " +
        "SYCAMOREPULLEY_STORE, or write store in the settings file",
    );
  }
  return context.store;
}

/** The instance list; throws a usage error if its address is missing. */
export function requireInstanceList(context: Context): InstanceList {
  if (context.instanceList === undefined) {
    throw new UsageError(
      "the instance list's address is missing: give --instances URL, set " +
        "SYCAMOREPULLEY_INSTANCES, or write instances in the settings file",
    );
  }
  return context.instanceList;
}

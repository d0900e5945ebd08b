/** Reads the status of every listed process. @module */
import type { Instance, PlatformError } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { requireInstanceList } from "../context.ts";
import type { Context } from "../context.ts";
import type { StatusResult } from "./status_source.ts";

/** Largest number of concurrent status requests. */
const MAX_CONCURRENT_REQUESTS = 32;

/** A listed process and its status, or why there is none. */
export type FleetMember = { instance: Instance; result: StatusResult };

/**
 * Requests the status of every listed process; the result is sorted by name.
 */
export async function readFleet(
  context: Context,
): Promise<Result<FleetMember[], PlatformError>> {
  const listed = await requireInstanceList(context).list();
  if (listed.isErr) {
    return Result.err(listed.error);
  }
  const instances = sortByName(listed.value);
  const members: FleetMember[] = [];
  for (
    let start = 0;
    start < instances.length;
    start += MAX_CONCURRENT_REQUESTS
  ) {
    const batch = instances.slice(start, start + MAX_CONCURRENT_REQUESTS)
      .map(async (instance) => ({
        instance,
        result: await context.statusSource.fetchStatus(instance),
      }));
    members.push(...await Promise.all(batch));
  }
  return Result.ok(members);
}

/** Returns a copy that is sorted by name. */
export function sortByName(instances: Instance[]): Instance[] {
  return instances.toSorted((one, other) => one.name.localeCompare(other.name));
}

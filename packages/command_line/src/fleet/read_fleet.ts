/** Statuses of every listed process. @module */
import type { Instance, PlatformError } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { requiredInstanceList } from "../context.ts";
import type { Context } from "../context.ts";
import type { StatusAnswer } from "./status_source.ts";

const ASKED_AT_ONCE = 32;

/** A listed process and its answer. */
export type FleetMember = { instance: Instance; answer: StatusAnswer };

/** Asks every listed process, a bounded number at once, in order of name. */
export async function readFleet(
  context: Context,
): Promise<Result<FleetMember[], PlatformError>> {
  const listed = await requiredInstanceList(context).list();
  if (listed.isErr) {
    return Result.err(listed.error);
  }
  const instances = byName(listed.value);
  const members: FleetMember[] = [];
  for (let start = 0; start < instances.length; start += ASKED_AT_ONCE) {
    const asked = instances.slice(start, start + ASKED_AT_ONCE)
      .map(async (instance) => ({
        instance,
        answer: await context.statusSource.ask(instance),
      }));
    members.push(...await Promise.all(asked));
  }
  return Result.ok(members);
}

/** A copy in order of name. */
export function byName(instances: Instance[]): Instance[] {
  return instances.toSorted((one, other) => one.name.localeCompare(other.name));
}

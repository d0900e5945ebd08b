/** `evacuations`: shows the evacuated data centres. @module */
import { readPublished } from "@sycamorepulley/configuration";
import type { Instance } from "@sycamorepulley/store";
import { requireInstanceList, requireStore } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { publishFailure } from "../output/publish_failure.ts";
import { formatTable } from "../output/table.ts";

/** Prints each evacuation with the number of its backend servers. */
export async function evacuations(context: Context): Promise<CommandResult> {
  const published = await readPublished(requireStore(context));
  if (published.isErr) return publishFailure(published.error);
  const listed = await requireInstanceList(context).list();
  if (listed.isErr) return platformFailure(listed.error);
  const rows = (published.value.snapshot?.objects.evacuations ?? [])
    .map(({ name, reason }) => ({
      dataCentre: name,
      reason: reason ?? "",
      servers: countServers(listed.value, name),
    }));
  return {
    exitCode: EXIT_CODE.ok,
    text: rows.length === 0 ? ["no data centre is evacuated"] : formatTable([
      ["DATA CENTRE", "SERVERS", "REASON"],
      ...rows.map(({ dataCentre, servers, reason }) => [
        dataCentre,
        String(servers),
        reason,
      ]),
    ]),
    json: { evacuations: rows },
  };
}

function countServers(
  instances: readonly Instance[],
  dataCentre: string,
): number {
  return instances.filter((instance) =>
    instance.role === "sidecar" && instance.dataCentre === dataCentre
  ).length;
}

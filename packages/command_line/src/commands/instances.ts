/** `instances`: prints the platform's list of instances. @module */
import { requireInstanceList } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { sortByName } from "../fleet/read_fleet.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { formatTable } from "../output/table.ts";

/**
 * Prints the list without contacting the processes. The list may lag: it may
 * contain processes that have exited, and lack new ones.
 */
export async function instances(context: Context): Promise<CommandResult> {
  const listed = await requireInstanceList(context).list();
  if (listed.isErr) {
    return platformFailure(listed.error);
  }
  const sorted = sortByName(listed.value);
  const rows = sorted.map((instance) => [
    instance.name,
    instance.role,
    instance.dataCentre,
    instance.service ?? "",
    instance.version ?? "",
    `${instance.host}:${instance.port}`,
    instance.leaving ? "leaving" : "live",
  ]);
  return {
    exitCode: EXIT_CODE.ok,
    text: formatTable([
      [
        "INSTANCE",
        "ROLE",
        "DATA CENTRE",
        "SERVICE",
        "VERSION",
        "ADDRESS",
        "STATE",
      ],
      ...rows,
    ]),
    json: { instances: sorted },
  };
}

/** `instances`: the platform's list as it is. @module */
import { requiredInstanceList } from "../context.ts";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { byName } from "../fleet/read_fleet.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { table } from "../output/table.ts";

/** Asks no process; the list may lag either way. */
export async function instances(context: Context): Promise<CommandResult> {
  const listed = await requiredInstanceList(context).list();
  if (listed.isErr) {
    return platformFailure(listed.error);
  }
  const sorted = byName(listed.value);
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
    text: table([
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

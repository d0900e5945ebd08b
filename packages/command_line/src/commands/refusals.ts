/** `refusals`: why requests were refused or retried, over the fleet. @module */
import type { Status } from "@sycamorepulley/store";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { readFleet } from "../fleet/read_fleet.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { formatTable } from "../output/table.ts";

type Counters = Record<string, number>;

/**
 * Sums the counts of all entries since their start. The JSON output also has
 * the counts of each process.
 */
export async function refusals(context: Context): Promise<CommandResult> {
  const fleet = await readFleet(context);
  if (fleet.isErr) {
    return platformFailure(fleet.error);
  }
  const statuses = fleet.value.flatMap(({ result }) =>
    result.isOk ? [result.value] : []
  );
  const entries = statuses.filter((status) => status.role === "entry");
  const refused = sum(entries.map((status) => status.refusals));
  const retried = sum(entries.map((status) => status.retries));
  return {
    exitCode: EXIT_CODE.ok,
    text: [
      `requests refused or retried since the start of ${entries.length} entries:`,
      ...formatTable([
        ["KIND", "REASON", "COUNT"],
        ...rows("refusal", refused),
        ...rows("retry", retried),
      ]),
    ],
    json: {
      refusals: refused,
      retries: retried,
      processes: statuses.map(countersOf),
    },
  };
}

function sum(all: Counters[]): Counters {
  const total: Counters = {};
  for (const counters of all) {
    for (const [reason, count] of Object.entries(counters)) {
      total[reason] = (total[reason] ?? 0) + count;
    }
  }
  return total;
}

function rows(kind: string, counters: Counters): string[][] {
  return Object.entries(counters)
    .toSorted(([, one], [, other]) => other - one)
    .map(([reason, count]) => [kind, reason, String(count)]);
}

function countersOf(status: Status): unknown {
  const { instance, role, refusals, retries } = status;
  return { instance, role, refusals, retries };
}

/**
 * `status`: shows the revision in force and the health of every process.
 * @module
 */
import { readPublished } from "@sycamorepulley/configuration";
import type { Status } from "@sycamorepulley/store";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import type { ExitCode } from "../exit_code.ts";
import { countInForce } from "../fleet/count_in_force.ts";
import { readFleet } from "../fleet/read_fleet.ts";
import type { FleetMember } from "../fleet/read_fleet.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { formatDuration, formatTable } from "../output/table.ts";

const HEADING = [
  "INSTANCE",
  "ROLE",
  "DATA CENTRE",
  "SERVICE",
  "VERSION",
  "REVISION",
  "STATE",
  "WAITING",
  "RUNNING",
  "UP",
];

/**
 * Also works during an outage of the key-value service: then it compares with
 * the newest revision of any process, and prints a warning.
 */
export async function status(context: Context): Promise<CommandResult> {
  const fleet = await readFleet(context);
  if (fleet.isErr) {
    return platformFailure(fleet.error);
  }
  const published = await publishedRevision(context);
  const newest = published ?? newestInForce(fleet.value);
  const { inForce, answered } = countInForce(fleet.value, newest);
  const unreachable = fleet.value.length - answered;
  return {
    exitCode: exitCodeOf({ fleet: fleet.value, published, inForce, answered }),
    text: [
      ...formatTable([HEADING, ...fleet.value.map(row)]),
      `revision ${newest} (${
        published === undefined ? "newest seen" : "published"
      }) is in force in ${inForce} of ${answered} processes that answered`,
    ],
    warnings: [
      ...(unreachable > 0
        ? [`${unreachable} listed processes gave no answer; the list may lag`]
        : []),
      ...(published === undefined
        ? [
          "the published revision is not known: the key-value service is " +
          "unreachable or not named (--store)",
        ]
        : []),
    ],
    json: {
      publishedRevision: published ?? null,
      inForce,
      answered,
      processes: fleet.value.map(jsonOf),
    },
  };
}

function exitCodeOf(
  options: {
    fleet: FleetMember[];
    published: number | undefined;
    inForce: number;
    answered: number;
  },
): ExitCode {
  const { fleet, published, inForce, answered } = options;
  if (published === undefined) {
    return EXIT_CODE.unreachable;
  }
  const ready = fleet.every(({ result }) =>
    result.isErr || result.value.ready || result.value.leaving
  );
  return ready && inForce === answered ? EXIT_CODE.ok : EXIT_CODE.refused;
}

async function publishedRevision(
  context: Context,
): Promise<number | undefined> {
  if (context.store === undefined) {
    return undefined;
  }
  const published = await readPublished(context.store);
  return published.isOk ? published.value.snapshot?.revision ?? 0 : undefined;
}

function newestInForce(fleet: FleetMember[]): number {
  return Math.max(
    0,
    ...fleet.map(({ result }) =>
      result.isOk ? result.value.configurationRevision : 0
    ),
  );
}

function row({ instance, result }: FleetMember): string[] {
  if (result.isErr) {
    return [
      instance.name,
      instance.role,
      instance.dataCentre,
      instance.service ?? "",
      instance.version ?? "",
      "?",
      `no answer (${result.error})`,
    ];
  }
  const status = result.value;
  return [
    status.instance,
    status.role,
    status.dataCentre,
    status.service ?? "",
    status.version ?? "",
    String(status.configurationRevision),
    stateOf(status),
    String(status.waiting),
    String(status.running),
    formatDuration(status.uptime),
  ];
}

function stateOf(status: Status): string {
  if (status.leaving) {
    return "leaving";
  }
  const unavailable =
    status.servers?.filter((server) => !server.healthy || server.ejected)
      .length ?? 0;
  const servers = unavailable > 0 ? `, ${unavailable} servers out` : "";
  return `${status.ready ? "ready" : "not ready"}${servers}`;
}

function jsonOf({ instance, result }: FleetMember): unknown {
  return result.isOk
    ? { ...result.value, answered: true }
    : { instance: instance.name, answered: false, detail: result.error };
}

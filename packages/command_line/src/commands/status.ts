/** `status`: what every process has in force and how it fares. @module */
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
import { formatDuration, table } from "../output/table.ts";

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

/** Works during an outage of the key-value service too, and then says so. */
export async function status(context: Context): Promise<CommandResult> {
  const fleet = await readFleet(context);
  if (fleet.isErr) {
    return platformFailure(fleet.error);
  }
  const published = await publishedRevision(context);
  const newest = published ?? newestInForce(fleet.value);
  const { inForce, answered } = countInForce(fleet.value, newest);
  const silent = fleet.value.length - answered;
  return {
    exitCode: exitCodeOf({ fleet: fleet.value, published, inForce, answered }),
    text: [
      ...table([HEADING, ...fleet.value.map(row)]),
      `revision ${newest} (${
        published === undefined ? "newest seen" : "published"
      }) is in force in ${inForce} of ${answered} processes that answered`,
    ],
    warnings: [
      ...(silent > 0
        ? [`${silent} listed processes gave no answer; the list may lag`]
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
  const ready = fleet.every(({ answer }) =>
    answer.isErr || answer.value.ready || answer.value.leaving
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
    ...fleet.map(({ answer }) =>
      answer.isOk ? answer.value.configurationRevision : 0
    ),
  );
}

function row({ instance, answer }: FleetMember): string[] {
  if (answer.isErr) {
    return [
      instance.name,
      instance.role,
      instance.dataCentre,
      instance.service ?? "",
      instance.version ?? "",
      "?",
      `no answer (${answer.error})`,
    ];
  }
  const status = answer.value;
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
  const sick =
    status.servers?.filter((server) => !server.healthy || server.ejected)
      .length ?? 0;
  const servers = sick > 0 ? `, ${sick} servers out` : "";
  return `${status.ready ? "ready" : "not ready"}${servers}`;
}

function jsonOf({ instance, answer }: FleetMember): unknown {
  return answer.isOk
    ? { ...answer.value, answered: true }
    : { instance: instance.name, answered: false, detail: answer.error };
}

/** Declares the commands, their options and their help. @module */
import { cac } from "cac";
import type { CAC } from "cac";
import { apply } from "./commands/apply.ts";
import { check } from "./commands/check.ts";
import { diff } from "./commands/diff.ts";
import { evacuate } from "./commands/evacuate.ts";
import { evacuations } from "./commands/evacuations.ts";
import { explain } from "./commands/explain.ts";
import { get } from "./commands/get.ts";
import { instances } from "./commands/instances.ts";
import { moves } from "./commands/moves.ts";
import { refusals } from "./commands/refusals.ts";
import { rollouts } from "./commands/rollouts.ts";
import { status } from "./commands/status.ts";
import type { Context } from "./context.ts";
import { UsageError } from "./output/command_result.ts";
import type { CommandResult } from "./output/command_result.ts";

const EXIT_CODES = `  0  done
  1  problems were found, nothing was found, or the fleet is not ready and up to date
  2  the command line was wrong; nothing was tried
  3  conflict: somebody published since the base; nothing was changed
  4  a service was unreachable, or an outcome is unknown (the message says which)`;

/** Options as the parser gives them. */
export type ParsedOptions = Record<string, unknown>;

type CommandRunner = (context: Context) => Promise<CommandResult>;

/**
 * Creates the parser; the action of the matched command sets `selected.run`.
 */
export function createProgram(selected: { run?: CommandRunner }): CAC {
  const program = cac("sycamorepulley");
  program
    .option("--store <url>", "Key-value service (or SYCAMOREPULLEY_STORE)")
    .option("--instances <url>", "Instance list (or SYCAMOREPULLEY_INSTANCES)")
    .option(
      "--settings <file>",
      "JSON with comments: store, instances (or SYCAMOREPULLEY_SETTINGS)",
    )
    .option("--json", "Print JSON for scripts");
  addConfigurationCommands(program, selected);
  addFleetCommands(program, selected);
  program.help((sections) => {
    sections.push({ title: "Exit codes", body: EXIT_CODES });
  });
  return program;
}

function addConfigurationCommands(
  program: CAC,
  selected: { run?: CommandRunner },
): void {
  program.command("check <file>", "Check a file of objects as a whole")
    .example("  $ sycamorepulley check fleet.jsonc")
    .action((file: string) => {
      selected.run = (context) => check(context, file);
    });
  program.command("diff <file>", "Show what publishing a file would change")
    .example("  $ sycamorepulley diff fleet.jsonc")
    .action((file: string) => {
      selected.run = (context) => diff(context, file);
    });
  program.command("apply <file>", "Check a file and publish it")
    .option("--base <revision>", "Revision that the file is based on")
    .option("--by <name>", "Who publishes; shown to others in a conflict")
    .option(
      "--publish-id <id>",
      "Repeat a publish of unknown outcome: its publish id",
    )
    .option("--wait <seconds>", "Wait until it is in force in every process")
    .example("  $ sycamorepulley apply fleet.jsonc --wait 10")
    .example(
      "  $ sycamorepulley get > fleet.jsonc; edit it; sycamorepulley apply fleet.jsonc",
    )
    .action((file: string, options: ParsedOptions) => {
      const parsed = applyOptions(options);
      selected.run = (context) => apply(context, file, parsed);
    });
  program.command(
    "get [kind] [name]",
    "Print the published configuration, a kind or an object",
  )
    .example("  $ sycamorepulley get > fleet.jsonc")
    .example("  $ sycamorepulley get services")
    .example("  $ sycamorepulley get versions assistant/v2")
    .action((kind?: string, name?: string) => {
      selected.run = (context) => get(context, kind, name);
    });
}

function addFleetCommands(
  program: CAC,
  selected: { run?: CommandRunner },
): void {
  program.command(
    "status",
    "Show what every process has in force, and its health",
  )
    .example("  $ sycamorepulley status --json")
    .action(() => {
      selected.run = status;
    });
  program.command("instances", "Show the platform's list of instances")
    .example("  $ sycamorepulley instances")
    .action(() => {
      selected.run = instances;
    });
  program.command(
    "evacuate <data-centre>",
    "Send nothing more to the backend servers of a data centre",
  )
    .option("--end", "Use the data centre again")
    .option("--reason <text>", "Shown by evacuations")
    .option("--by <name>", "Who publishes; shown to others in a conflict")
    .example("  $ sycamorepulley evacuate north --reason 'power work'")
    .example("  $ sycamorepulley evacuate north --end")
    .action((dataCentre: string, options: ParsedOptions) => {
      const { reason, by } = options;
      const parsed = {
        end: options.end === true,
        ...(reason !== undefined && { reason: String(reason) }),
        ...(by !== undefined && { by: String(by) }),
      };
      selected.run = (context) => evacuate(context, dataCentre, parsed);
    });
  program.command("evacuations", "Show the evacuated data centres")
    .example("  $ sycamorepulley evacuations")
    .action(() => {
      selected.run = evacuations;
    });
  program.command("moves", "Show the progress of each move")
    .example("  $ sycamorepulley moves")
    .action(() => {
      selected.run = moves;
    });
  program.command(
    "rollouts [...gateways]",
    "Show the progress of each roll-out (HOST:PORT of gateways' metrics)",
  )
    .example("  $ sycamorepulley rollouts 10.1.0.25:7600 10.1.0.26:7600")
    .action((gateways: string[]) => {
      selected.run = (context) => rollouts(context, gateways);
    });
  program.command(
    "explain <request> [...files]",
    "Show what logs say of a request (files, or standard input)",
  )
    .example("  $ sycamorepulley explain 9c41d07be2a35f68 entry-*.log")
    .action((request: string, files: string[]) => {
      selected.run = (context) => explain(context, request, files);
    });
  program.command("refusals", "Sum refusals and retries by reason")
    .example("  $ sycamorepulley refusals")
    .action(() => {
      selected.run = refusals;
    });
}

function applyOptions(options: ParsedOptions) {
  const base = optionalNumber(options, "base", "a revision such as 0");
  const wait = optionalNumber(options, "wait", "seconds such as 10");
  const { publishId, by } = options;
  return {
    ...(base !== undefined && { base }),
    ...(wait !== undefined && { wait }),
    ...(publishId !== undefined && { publishId: String(publishId) }),
    ...(by !== undefined && { by: String(by) }),
  };
}

function optionalNumber(
  options: ParsedOptions,
  name: string,
  expected: string,
): number | undefined {
  const value = options[name];
  if (value === undefined) {
    return undefined;
  }
  const number = Number(value);
  if (!Number.isSafeInteger(number) || number < 0) {
    throw new UsageError(`--${name}: write ${expected}, not "${value}"`);
  }
  return number;
}

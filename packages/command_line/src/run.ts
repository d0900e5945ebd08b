/** Runs the command line, from its arguments to its exit code. @module */
import { HttpInstanceList, HttpKeyValueStore } from "@sycamorepulley/store";
import type { CAC } from "cac";
import { findAddresses } from "./addresses.ts";
import type { Addresses } from "./addresses.ts";
import type { Context } from "./context.ts";
import { EXIT_CODE } from "./exit_code.ts";
import type { ExitCode } from "./exit_code.ts";
import { HttpStatusSource } from "./fleet/status_source.ts";
import { UsageError } from "./output/command_result.ts";
import type { CommandResult } from "./output/command_result.ts";
import { createProgram } from "./program.ts";

/** Input and output of a run. */
export type RunOptions = {
  /** The arguments, without the program's own path. */
  arguments: string[];
  environment: Record<string, string | undefined>;
  /** Prints a line to standard output. */
  print: (line: string) => void;
  /** Prints a line to standard error. */
  warn: (line: string) => void;
};

/** Runs the command; resolves to the exit code. */
export async function run(options: RunOptions): Promise<ExitCode> {
  try {
    return await runCommand(options);
  } catch (error) {
    if (!isUsageError(error)) {
      throw error;
    }
    options.warn(`sycamorepulley: ${error.message}. See --help.`);
    return EXIT_CODE.usage;
  }
}

async function runCommand(options: RunOptions): Promise<ExitCode> {
  const selected: { run?: (context: Context) => Promise<CommandResult> } = {};
  const program = createProgram(selected);
  const argv = ["node", "sycamorepulley", ...options.arguments];
  const parsed = program.parse(argv, { run: false });
  if (parsed.options["help"] === true) {
    return EXIT_CODE.ok;
  }
  if (program.matchedCommand === undefined) {
    throw unknownCommandError(program);
  }
  await program.runMatchedCommand();
  const addresses = findAddresses({
    ...parsed.options,
    environment: options.environment,
  });
  const command = selected.run as (context: Context) => Promise<CommandResult>;
  const result = await withContext(addresses, command);
  printResult(result, parsed.options["json"] === true, options);
  return result.exitCode;
}

function unknownCommandError(program: CAC): UsageError {
  const [name] = program.args;
  if (name !== undefined) {
    return new UsageError(`there is no command "${name}"`);
  }
  program.outputHelp();
  return new UsageError("name a command");
}

async function withContext(
  addresses: Addresses,
  command: (context: Context) => Promise<CommandResult>,
): Promise<CommandResult> {
  const { store: storeUrl, instances: listUrl } = addresses;
  const store = storeUrl && new HttpKeyValueStore({ url: storeUrl });
  const instanceList = listUrl && new HttpInstanceList({ url: listUrl });
  const statusSource = new HttpStatusSource();
  try {
    return await command({
      ...(store && { store }),
      ...(instanceList && { instanceList }),
      statusSource,
      now: () => Date.now(),
    });
  } finally {
    await (store || undefined)?.close();
    await (instanceList || undefined)?.close();
    await statusSource.close();
  }
}

function printResult(
  result: CommandResult,
  json: boolean,
  options: RunOptions,
): void {
  if (json) {
    const { exitCode } = result;
    const body = { ...result.json as object, exitCode };
    options.print(JSON.stringify(body, null, 2));
    return;
  }
  result.text.forEach(options.print);
  result.warnings?.forEach(options.warn);
}

/** The parser does not export the class of its errors; they have this name. */
function isUsageError(error: unknown): error is Error {
  return error instanceof UsageError ||
    (error instanceof Error && error.name === "CACError");
}

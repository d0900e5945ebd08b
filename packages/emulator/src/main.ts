#!/usr/bin/env node
/** Command line that runs an emulator as a process, or sends load. @module */
import { cac } from "cac";
import process from "node:process";
import * as v from "valibot";
import { registerDayCommand } from "./commands/day_command.ts";
import { registerEngineCommand } from "./commands/engine_command.ts";
import { registerLoadCommand } from "./commands/load_command.ts";
import { registerPlainCommand } from "./commands/plain_command.ts";
import { registerPlatformCommands } from "./commands/platform_commands.ts";

const program = cac("emulator");
registerEngineCommand(program);
registerPlainCommand(program);
registerPlatformCommands(program);
registerLoadCommand(program);
registerDayCommand(program);
program.help();
program.addEventListener("command:*", () => {
  fail(new Error(`unknown command "${program.args[0]}"; see --help`));
});

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  fail(error);
}

function fail(error: unknown): never {
  console.error(describeError(error));
  process.exit(2);
}

function describeError(error: unknown): string {
  if (error instanceof v.ValiError) {
    return v.summarize(error.issues);
  }
  return error instanceof Error ? error.message : String(error);
}

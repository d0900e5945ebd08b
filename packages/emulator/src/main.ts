#!/usr/bin/env node
/** `node dist/main.js <emulator> --port …`: one emulator as a process. @module */
import { cac } from "cac";
import process from "node:process";
import * as v from "valibot";
import { registerEngine } from "./commands/engine_command.ts";
import { registerLoad } from "./commands/load_command.ts";
import { registerPlain } from "./commands/plain_command.ts";
import { registerPlatform } from "./commands/platform_commands.ts";

const program = cac("emulator");
registerEngine(program);
registerPlain(program);
registerPlatform(program);
registerLoad(program);
program.help();
program.addEventListener("command:*", () => {
  fail(new Error(`no emulator is called "${program.args[0]}"; see --help`));
});

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  fail(error);
}

function fail(error: unknown): never {
  console.error(explain(error));
  process.exit(2);
}

function explain(error: unknown): string {
  if (error instanceof v.ValiError) {
    return v.summarize(error.issues);
  }
  return error instanceof Error ? error.message : String(error);
}

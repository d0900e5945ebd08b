/** The `engine` command. @module */
import type { CAC } from "cac";
import type { EngineSettingsInput } from "../engine/engine_settings.ts";
import { startEngine } from "../engine/start_engine.ts";
import { exitAsCrashed, runUntilSignal } from "./run_until_signal.ts";

/** Each option has the name of the setting that it sets. */
export function registerEngineCommand(program: CAC): void {
  program.command("engine", "a model engine with chat completions")
    .option("--host <host>", "address to listen on", { default: "127.0.0.1" })
    .option("--port <port>", "port to listen on, 0 for a free one", {
      default: 0,
    })
    .option("--name <name>", "name given in responses and in the history")
    .option("--speed <factor>", "2 is twice as fast")
    .option(
      "--max-sequences <count>",
      "maximum number of sequences in the batch",
    )
    .option("--step-time <ms>", "duration of a step that processes no token")
    .option("--sequence-time <ms>", "added for each decoding sequence")
    .option("--prefill-time <ms>", "added for each prefilled token")
    .option("--cache-tokens <count>", "capacity of the prefix cache")
    .option("--report-lag <ms>", "maximum age of the reported load")
    .option("--seed <number>", "seed of the random errors")
    .example("node dist/main.js engine --port 7101 --speed 2")
    .action(async (options: Record<string, unknown>) => {
      const { host, port, "--": _rest, ...settings } = options;
      runUntilSignal(
        await startEngine({
          host: String(host),
          port: Number(port),
          settings: withNameAsText(settings) as EngineSettingsInput,
          onCrash: exitAsCrashed,
        }),
      );
    });
}

/** Converts the name to a string: cac parses a name of digits as a number. */
export function withNameAsText(
  settings: Record<string, unknown>,
): Record<string, unknown> {
  return "name" in settings
    ? { ...settings, name: String(settings["name"]) }
    : settings;
}

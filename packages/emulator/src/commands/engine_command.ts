/** The `engine` command. @module */
import type { CAC } from "cac";
import type { EngineSettingsInput } from "../engine/engine_settings.ts";
import { startEngine } from "../engine/start_engine.ts";
import { crash, serve } from "./serve.ts";

/** Options carry the names of the engine's settings. */
export function registerEngine(program: CAC): void {
  program.command("engine", "a model engine with chat completions")
    .option("--host <host>", "address to listen on", { default: "127.0.0.1" })
    .option("--port <port>", "port to listen on, 0 for a free one", {
      default: 0,
    })
    .option("--name <name>", "name given in answers and in the history")
    .option("--speed <factor>", "2 is twice as fast")
    .option("--max-sequences <count>", "sequences that one batch holds")
    .option("--step-time <ms>", "time of an empty step")
    .option("--sequence-time <ms>", "added for each decoding sequence")
    .option("--prefill-time <ms>", "added for each prefilled token")
    .option("--cache-tokens <count>", "size of the prefix cache")
    .option("--report-lag <ms>", "age of the reported load")
    .option("--seed <number>", "seed of the drawn errors")
    .example("node dist/main.js engine --port 7101 --speed 2")
    .action(async (options: Record<string, unknown>) => {
      const { host, port, "--": _rest, ...settings } = options;
      serve(
        await startEngine({
          host: String(host),
          port: Number(port),
          settings: named(settings) as EngineSettingsInput,
          onCrash: crash,
        }),
      );
    });
}

/** A name of digits reaches the command as a number. */
export function named(
  settings: Record<string, unknown>,
): Record<string, unknown> {
  return "name" in settings
    ? { ...settings, name: String(settings["name"]) }
    : settings;
}

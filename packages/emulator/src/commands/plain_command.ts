/** The `plain` command. @module */
import type { CAC } from "cac";
import type { PlainSettingsInput } from "../plain/plain_settings.ts";
import { startPlainService } from "../plain/start_plain_service.ts";
import { withNameAsText } from "./engine_command.ts";
import { exitAsCrashed, runUntilSignal } from "./run_until_signal.ts";

/** Each option has the name of the setting that it sets. */
export function registerPlainCommand(program: CAC): void {
  program.command("plain", "a booking service with non-idempotent calls")
    .option("--host <host>", "address to listen on", { default: "127.0.0.1" })
    .option("--port <port>", "port to listen on, 0 for a free one", {
      default: 0,
    })
    .option("--name <name>", "name given in responses and in the history")
    .option("--call-time <ms>", "duration of one call")
    .option("--max-calls <count>", "maximum number of concurrent calls")
    .option("--seed <number>", "seed of the random errors")
    .example("node dist/main.js plain --port 7201 --call-time 20")
    .action(async (options: Record<string, unknown>) => {
      const { host, port, "--": _rest, ...settings } = options;
      runUntilSignal(
        await startPlainService({
          host: String(host),
          port: Number(port),
          settings: withNameAsText(settings) as PlainSettingsInput,
          onCrash: exitAsCrashed,
        }),
      );
    });
}

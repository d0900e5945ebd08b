/** The `plain` command. @module */
import type { CAC } from "cac";
import type { PlainSettingsInput } from "../plain/plain_settings.ts";
import { startPlainService } from "../plain/start_plain_service.ts";
import { named } from "./engine_command.ts";
import { crash, serve } from "./serve.ts";

/** Options carry the names of the plain service's settings. */
export function registerPlain(program: CAC): void {
  program.command("plain", "a booking service with non-idempotent calls")
    .option("--host <host>", "address to listen on", { default: "127.0.0.1" })
    .option("--port <port>", "port to listen on, 0 for a free one", {
      default: 0,
    })
    .option("--name <name>", "name given in answers and in the history")
    .option("--call-time <ms>", "time that one call takes")
    .option("--max-calls <count>", "calls that run at once")
    .option("--seed <number>", "seed of the drawn errors")
    .example("node dist/main.js plain --port 7201 --call-time 20")
    .action(async (options: Record<string, unknown>) => {
      const { host, port, "--": _rest, ...settings } = options;
      serve(
        await startPlainService({
          host: String(host),
          port: Number(port),
          settings: named(settings) as PlainSettingsInput,
          onCrash: crash,
        }),
      );
    });
}

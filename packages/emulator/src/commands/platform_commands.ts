/** The `key-value-store` and `instance-list` commands. @module */
import type { CAC } from "cac";
import { startInstanceList, startKeyValueStore } from "../platform/mod.ts";
import type { StartedService, StartOptions } from "../platform/mod.ts";
import { runUntilSignal } from "./run_until_signal.ts";

type StartService = (options: StartOptions) => Promise<StartedService>;

/** The options only set the address; faults are set over HTTP. */
export function registerPlatformCommands(program: CAC): void {
  registerCommand(program, startKeyValueStore, {
    name: "key-value-store",
    description: "the platform's key-value service",
  });
  registerCommand(program, startInstanceList, {
    name: "instance-list",
    description: "the platform's instance list",
  });
}

function registerCommand(
  program: CAC,
  start: StartService,
  { name, description }: { name: string; description: string },
): void {
  program.command(name, description)
    .option("--host <host>", "address to listen on", { default: "127.0.0.1" })
    .option("--port <port>", "port to listen on, 0 for a free one", {
      default: 0,
    })
    .action(async ({ host, port }: Record<string, unknown>) => {
      runUntilSignal(await start({ host: String(host), port: Number(port) }));
    });
}

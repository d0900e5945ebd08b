/** The `key-value-store` and `instance-list` commands. @module */
import type { CAC } from "cac";
import { startInstanceList, startKeyValueStore } from "../platform/mod.ts";
import type { StartedServer, StartOptions } from "../platform/mod.ts";
import { serve } from "./serve.ts";

type Start = (options: StartOptions) => Promise<StartedServer>;

/** Both listen only; their faults are set over HTTP. */
export function registerPlatform(program: CAC): void {
  register(program, startKeyValueStore, {
    name: "key-value-store",
    description: "the platform's key-value service",
  });
  register(program, startInstanceList, {
    name: "instance-list",
    description: "the platform's instance list",
  });
}

function register(
  program: CAC,
  start: Start,
  { name, description }: { name: string; description: string },
): void {
  program.command(name, description)
    .option("--host <host>", "address to listen on", { default: "127.0.0.1" })
    .option("--port <port>", "port to listen on, 0 for a free one", {
      default: 0,
    })
    .action(async ({ host, port }: Record<string, unknown>) => {
      serve(await start({ host: String(host), port: Number(port) }));
    });
}

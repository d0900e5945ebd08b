/** Keeps an emulator running as a process. @module */
import process from "node:process";
import type { EmulatedServer } from "../server/emulated_server.ts";

/** Exit status of an emulated crash. */
export const CRASH_STATUS = 70;

/** Writes one JSON line with the URL, then closes upon SIGTERM or SIGINT. */
export function serve(server: Pick<EmulatedServer, "url" | "close">): void {
  console.log(JSON.stringify({ message: "ready", url: server.url }));
  const stop = () => void server.close().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

/** Ends the process at once, as a crash would. */
export function crash(): never {
  process.exit(CRASH_STATUS);
}

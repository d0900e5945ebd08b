/** Runs an emulator as a process of its own. @module */
import process from "node:process";
import type { EmulatedServer } from "../server/emulated_server.ts";

/** Exit status of the process after an emulated crash. */
export const CRASH_EXIT_STATUS = 70;

/** Prints the URL as a line of JSON; closes the server on SIGTERM or SIGINT. */
export function runUntilSignal(
  server: Pick<EmulatedServer, "url" | "close">,
): void {
  console.log(JSON.stringify({ message: "ready", url: server.url }));
  const stop = () => void server.close().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
}

/** Exits the process at once, without closing anything. */
export function exitAsCrashed(): never {
  process.exit(CRASH_EXIT_STATUS);
}

/** Paths of the built programs. @module */
import { fileURLToPath } from "node:url";

function programPath(packageName: string): string {
  const entry = import.meta.resolve(`@sycamorepulley/${packageName}`);
  return fileURLToPath(new URL("main.js", entry));
}

/** The daemon, `sycamorepulleyd`. */
export const DAEMON_PROGRAM = programPath("daemon");
/** The emulated servers. */
export const EMULATOR_PROGRAM = programPath("emulator");
/** The command line, `sycamorepulley`. */
export const COMMAND_LINE_PROGRAM = programPath("command_line");

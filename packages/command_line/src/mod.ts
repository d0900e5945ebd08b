/** The operators' command line. @module */
export { EXIT_CODE } from "./exit_code.ts";
export type { ExitCode } from "./exit_code.ts";
export { run } from "./run.ts";
export type { RunOptions } from "./run.ts";

/** The result of a command. @module */
import type { ExitCode } from "../exit_code.ts";

/** `text` is for people and `json` for scripts; both contain the same facts. */
export type CommandResult = {
  exitCode: ExitCode;
  text: string[];
  json: unknown;
  /** Lines for standard error in text mode: what went wrong and what to do. */
  warnings?: string[];
};

/** The command line was wrong; the message says how to correct it. */
export class UsageError extends Error {}

/** What a command has to say. @module */
import type { ExitCode } from "../exit_code.ts";

/** `text` is for people, `json` for scripts; the same facts in both. */
export type CommandResult = {
  exitCode: ExitCode;
  text: string[];
  json: unknown;
  /** Printed to standard error in text mode: what went wrong and what to do. */
  warnings?: string[];
};

/** A command line that can't be carried out; the message says how to mend it. */
export class UsageError extends Error {}

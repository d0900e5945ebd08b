/**
 * The process's log: one JSON object per line, for changes of state only.
 * Frequent events are counted in metrics instead.
 * @module
 */
import "./log_environment.ts";
import { Roarr } from "roarr";
import type { Settings } from "./settings.ts";

/** Writes a log line with the given fields. */
export type Log = {
  info(message: string, context?: Record<string, string | number>): void;
  warn(message: string, context?: Record<string, string | number>): void;
};

/** Creates a log that adds the process's role and instance to each line. */
export function createLog(settings: Settings): Log {
  const logger = Roarr.child({
    role: settings.role,
    instance: settings.instance,
  });
  return {
    info: (message, context = {}) => logger.info(context, message),
    warn: (message, context = {}) => logger.warn(context, message),
  };
}

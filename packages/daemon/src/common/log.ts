/**
 * Log lines, one JSON object each, for changes of state only; what happens
 * often is counted instead.
 * @module
 */
import "./log_environment.ts";
import { Roarr } from "roarr";
import type { Settings } from "./settings.ts";

/** Writes one line about a change of state. */
export type Log = {
  info(message: string, context?: Record<string, string | number>): void;
  warn(message: string, context?: Record<string, string | number>): void;
};

/** A log whose lines name the process. */
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

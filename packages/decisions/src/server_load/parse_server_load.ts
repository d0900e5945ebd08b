/** Parses the load that a server reports in a response header. @module */
import { Result } from "true-myth/result";

/** What a server reports about itself and its machine. */
export type ServerLoad = {
  /** Requests that it runs, and those that wait there. */
  running: number;
  waiting: number;
  slots: number;
  /**
   * How long work takes on its machine, in percent of the usual time; absent if
   * it does not say.
   */
  pace?: number;
};

/** Three or four decimal integers, separated by commas. */
const LOAD = /^(\d{1,7}),(\d{1,7}),(\d{1,7})(?:,(\d{1,7}))?$/;
/** Maximum number of characters of a malformed value that are logged. */
const MAXIMUM_LOGGED_LENGTH = 64;

/**
 * Returns the load, or `undefined` without a header. The error is the value
 * itself, if it is malformed or states that work takes no time.
 */
export function parseServerLoad(
  value: string | string[] | undefined,
): Result<ServerLoad | undefined, string> {
  if (value === undefined) return Result.ok(undefined);
  const text = String(value).trim();
  const figures = LOAD.exec(text)?.slice(1)
    .filter((figure) => figure !== undefined)
    .map(Number) ?? [];
  const load = loadOf(figures);
  return load === undefined
    ? Result.err(text.slice(0, MAXIMUM_LOGGED_LENGTH))
    : Result.ok(load);
}

/**
 * Returns the load of figures in the order of the header, or `undefined` if
 * they are none. Further figures are ignored.
 */
export function loadOf(figures: readonly number[]): ServerLoad | undefined {
  const [running, waiting, slots, pace] = figures;
  if (running === undefined || waiting === undefined || slots === undefined) {
    return undefined;
  }
  if (pace === undefined) return { running, waiting, slots };
  return pace === 0 ? undefined : { running, waiting, slots, pace };
}

/** Returns the figures of a load in the order of the header. */
export function figuresOf(load: ServerLoad): number[] {
  const { running, waiting, slots, pace } = load;
  return pace === undefined
    ? [running, waiting, slots]
    : [running, waiting, slots, pace];
}

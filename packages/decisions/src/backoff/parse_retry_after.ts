/** Parses the backoff that a server requests in a response header. @module */
import { Result } from "true-myth/result";

/** A decimal number of seconds, without a sign or an exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** Maximum number of characters of a malformed value that are logged. */
const MAXIMUM_LOGGED_LENGTH = 64;

/**
 * Returns the backoff in milliseconds, or `undefined` without a header. The
 * error is the value itself, if it is not a decimal number of seconds.
 */
export function parseRetryAfter(
  value: string | string[] | undefined,
): Result<number | undefined, string> {
  if (value === undefined) return Result.ok(undefined);
  const text = String(value).trim();
  const milliseconds = Number(text) * 1000;
  if (DECIMAL.test(text) && Number.isFinite(milliseconds)) {
    return Result.ok(milliseconds);
  }
  return Result.err(text.slice(0, MAXIMUM_LOGGED_LENGTH));
}

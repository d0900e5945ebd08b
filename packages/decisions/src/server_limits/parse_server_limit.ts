/** Parses the rate limit that a server states in a response header. @module */
import { Result } from "true-myth/result";

/** A decimal number without a sign or an exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** Maximum number of characters of a malformed value that are logged. */
const MAXIMUM_LOGGED_LENGTH = 64;

/**
 * Returns the limit in requests per second, or `undefined` without a header.
 * The error is the value itself, if it is not a decimal number.
 */
export function parseServerLimit(
  value: string | string[] | undefined,
): Result<number | undefined, string> {
  if (value === undefined) return Result.ok(undefined);
  const text = String(value).trim();
  const number = Number(text);
  if (DECIMAL.test(text) && Number.isFinite(number)) return Result.ok(number);
  return Result.err(text.slice(0, MAXIMUM_LOGGED_LENGTH));
}

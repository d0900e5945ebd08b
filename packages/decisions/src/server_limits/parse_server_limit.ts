/** Reads a server's limit from the header of an answer. @module */
import { Result } from "true-myth/result";

const DECIMAL = /^\d+(\.\d+)?$/;
/** Characters of an unreadable value that are logged. */
const LONGEST_QUOTE = 64;

/**
 * Requests a second; `undefined` without a header. The error is the value, where
 * it is no decimal number.
 */
export function parseServerLimit(
  value: string | string[] | undefined,
): Result<number | undefined, string> {
  if (value === undefined) return Result.ok(undefined);
  const text = String(value).trim();
  const number = Number(text);
  if (DECIMAL.test(text) && Number.isFinite(number)) return Result.ok(number);
  return Result.err(text.slice(0, LONGEST_QUOTE));
}

/**
 * Parses a published configuration. It was checked before it was published, so
 * no line numbers are needed. Parsing blocks the event loop of every process,
 * and without line numbers it takes a fraction of the time of `readObjects`.
 * @module
 */
import { parse } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import { Result } from "true-myth/result";
import * as v from "valibot";
import { objectsSchema } from "./objects.ts";
import type { ConfigurationObjects } from "./objects.ts";

/** Parses a configuration; the error describes the first problem only. */
export function parseObjects(
  text: string,
): Result<ConfigurationObjects, string> {
  const value = parsePlain(text) ?? parseCommented(text);
  const parsed = v.safeParse(objectsSchema, value, { abortEarly: true });
  if (parsed.success) {
    return Result.ok(parsed.output);
  }
  const [issue] = parsed.issues;
  const path = issue.path?.map((item) => String(item.key)).join(".");
  return Result.err(`${path ?? "the text"}: ${issue.message}`);
}

/** Ten times as fast as the JSONC parser, but rejects comments. */
function parsePlain(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parseCommented(text: string): unknown {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  return errors.length > 0 ? undefined : value;
}

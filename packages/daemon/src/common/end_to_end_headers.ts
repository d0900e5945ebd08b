/** Headers that pass through, and those that end at a connection. @module */
import { CONNECTION_HEADERS } from "@sycamorepulley/protocol";
import type { Headers } from "@sycamorepulley/protocol";

/** `headers` without those of the connection or named in `except`. */
export function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
  except: ReadonlySet<string> = new Set(),
): Headers {
  const kept: Headers = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (CONNECTION_HEADERS.has(name) || except.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

/** Headers that pass through, and those that end at a connection. @module */
import { HOP_BY_HOP_HEADERS } from "@sycamorepulley/protocol";
import type { HttpHeaders } from "@sycamorepulley/protocol";

/** `headers` without those of the connection or named in `except`. */
export function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
  except: ReadonlySet<string> = new Set(),
): HttpHeaders {
  const kept: HttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || except.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

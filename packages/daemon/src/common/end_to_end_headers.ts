/** Separates end-to-end headers from hop-by-hop headers. @module */
import { HOP_BY_HOP_HEADERS } from "@sycamorepulley/protocol";
import type { HttpHeaders } from "@sycamorepulley/protocol";

/** Returns `headers` without hop-by-hop headers and those in `excluded`. */
export function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
  excluded: ReadonlySet<string> = new Set(),
): HttpHeaders {
  const endToEnd: HttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || excluded.has(name)) continue;
    endToEnd[name] = value;
  }
  return endToEnd;
}

/** Headers that pass through, and those that end at a connection. @module */
import type { Headers } from "@sycamorepulley/protocol";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

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

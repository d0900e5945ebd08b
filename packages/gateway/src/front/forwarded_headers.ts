/** Selects the headers that are forwarded to a server or a caller. @module */
import { HOP_BY_HOP_HEADERS } from "@sycamorepulley/protocol";

/** Hop-by-hop headers, and the length of the body, which is set anew. */
const NEVER_FORWARDED: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  "content-length",
]);

/**
 * Alternating names and values as received, without hop-by-hop headers, headers
 * that the `Connection` header lists, and those in `droppedHeaders` (lower
 * case). A caller can't remove headers in `protectedHeaders` by listing them in
 * `Connection`.
 */
export function forwardedHeaders(
  rawHeaders: readonly string[],
  droppedHeaders: ReadonlySet<string>,
  protectedHeaders: ReadonlySet<string>,
): string[] {
  const listed = connectionOptions(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lowerCaseName = name.toLowerCase();
    if (
      NEVER_FORWARDED.has(lowerCaseName) || droppedHeaders.has(lowerCaseName)
    ) {
      continue;
    }
    if (listed.has(lowerCaseName) && !protectedHeaders.has(lowerCaseName)) {
      continue;
    }
    forwarded.push(name, rawHeaders[index + 1]!);
  }
  return forwarded;
}

/** The headers of a response that are forwarded to the caller. */
export function responseHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const listed = new Set(
    String(headers.connection ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || listed.has(name)) continue;
    if (NEVER_FORWARDED.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

function connectionOptions(rawHeaders: readonly string[]): Set<string> {
  const listed = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== "connection") continue;
    for (const name of rawHeaders[index + 1]!.split(",")) {
      listed.add(name.trim().toLowerCase());
    }
  }
  return listed;
}

/** Which headers go on to the other side. @module */
import { CONNECTION_HEADERS } from "@sycamorepulley/protocol";

/** A body's length is stated anew by whoever sends it on. */
const NEVER_FORWARDED: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  "content-length",
]);

/**
 * Names and values in turn, as received, less those of the connection, those
 * that its `Connection` header names, and `dropped` (lower case). Headers of
 * `kept` can't be taken out by a caller's `Connection`.
 */
export function forwardedHeaders(
  raw: readonly string[],
  droppedHeaders: ReadonlySet<string>,
  protectedHeaders: ReadonlySet<string>,
): string[] {
  const named = connectionOptions(raw);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!;
    const lower = name.toLowerCase();
    if (NEVER_FORWARDED.has(lower) || droppedHeaders.has(lower)) continue;
    if (named.has(lower) && !protectedHeaders.has(lower)) continue;
    forwarded.push(name, raw[index + 1]!);
  }
  return forwarded;
}

/** The headers of an answer that go to the caller. */
export function responseHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const named = new Set(
    String(headers.connection ?? "").toLowerCase().split(/\s*,\s*/),
  );
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || named.has(name)) continue;
    if (NEVER_FORWARDED.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

function connectionOptions(raw: readonly string[]): Set<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() !== "connection") continue;
    for (const name of raw[index + 1]!.split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}

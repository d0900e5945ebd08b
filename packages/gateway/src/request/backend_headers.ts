/** Headers for a backend server, and the fingerprint of a request. @module */
import { createHash } from "node:crypto";
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { HeaderNames } from "../front/header_names.ts";
import type { ResolvedRequest } from "./resolve_request.ts";

/**
 * Alternating names and values. `lastEventId`: id of the last event passed on,
 * if the request resumes a stream.
 */
export function backendHeaders(
  options: {
    headerNames: HeaderNames;
    parsed: ParsedRequest;
    resolved: ResolvedRequest;
    server: ServerRecord;
    lastEventId: string | undefined;
    now: number;
  },
): string[] {
  const { headerNames, parsed, resolved, server, lastEventId, now } = options;
  const { organisation, deadline } = resolved;
  const headers = lastEventId === undefined
    ? [...parsed.forwardedHeaders]
    : withoutHeader(parsed.forwardedHeaders, headerNames.lastEventId);
  const remaining = Math.max(1, Math.floor(deadline - now));
  headers.push(headerNames.remainingTime, String(remaining));
  headers.push(headerNames.expectedServer, server.id);
  if (organisation !== "") headers.push(headerNames.organisation, organisation);
  if (lastEventId !== undefined) {
    headers.push(headerNames.lastEventId, lastEventId);
  }
  return headers;
}

/**
 * Hash of method, host, target, body and organisation: the same for all attempts
 * of a request, through any entry and with any credential of the organisation.
 * Other headers may differ from attempt to attempt.
 */
export function requestFingerprint(
  parsed: Pick<ParsedRequest, "method" | "host" | "target">,
  organisation: string,
  body: Buffer | undefined,
): string {
  const hash = createHash("sha1");
  hash.update(`${parsed.method} ${parsed.host}${parsed.target}\n`);
  hash.update(`${organisation}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest("base64url");
}

function withoutHeader(headers: readonly string[], name: string): string[] {
  const kept: string[] = [];
  const lowerCaseName = name.toLowerCase();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === lowerCaseName) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}

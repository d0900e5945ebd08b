/** Headers that a backend server is sent, and what names a request. @module */
import { createHash } from "node:crypto";
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { HeaderNames } from "../front/header_names.ts";
import type { ResolvedRequest } from "./resolve_request.ts";

/** Names and values in turn; `lastEvent`: where a resumed stream goes on. */
export function backendHeaders(
  options: {
    names: HeaderNames;
    call: ParsedRequest;
    resolved: ResolvedRequest;
    server: ServerRecord;
    lastEvent: string | undefined;
    now: number;
  },
): string[] {
  const { names, call, resolved, server, lastEvent, now } = options;
  const { organisation, deadline: limitAt } = resolved;
  const headers = lastEvent === undefined
    ? [...call.forwardedHeaders]
    : withoutHeader(call.forwardedHeaders, names.lastEventId);
  const remaining = Math.max(1, Math.floor(limitAt - now));
  headers.push(names.remainingTime, String(remaining));
  headers.push(names.expectedServer, server.id);
  if (organisation !== "") headers.push(names.organisation, organisation);
  if (lastEvent !== undefined) headers.push(names.lastEventId, lastEvent);
  return headers;
}

/**
 * The same for each try of one request, whoever its caller sends it to;
 * `ownName`: the header that each try has a value of its own in.
 */
export function requestFingerprint(
  call: ParsedRequest,
  body: Buffer | undefined,
  requestIdHeader: string,
): string {
  const hash = createHash("sha1");
  hash.update(`${call.method} ${call.host}${call.target}\n`);
  hash.update(`${call.credential ?? ""}\n`);
  for (const part of withoutHeader(call.forwardedHeaders, requestIdHeader)) {
    hash.update(`${part}\n`);
  }
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

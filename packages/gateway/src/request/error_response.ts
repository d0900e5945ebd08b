/** The gateway's own answers to callers. @module */
import type { ServerResponse } from "node:http";

/** Why the gateway answers itself; the body states it. */
export type ErrorReason =
  | "no_configuration"
  | "no_route"
  | "bad_credential"
  | "head_too_large"
  | "body_too_large"
  | "quota"
  | "overload"
  | "no_server"
  | "expired"
  | "not_run"
  | "stopping"
  | "time_up"
  | "broken";

/** Status of each reason while the request has certainly not run. */
const STATUS_NOT_RUN: Record<ErrorReason, number> = {
  no_configuration: 503,
  no_route: 404,
  bad_credential: 401,
  head_too_large: 431,
  body_too_large: 413,
  quota: 429,
  overload: 503,
  no_server: 503,
  expired: 503,
  not_run: 503,
  stopping: 503,
  time_up: 503,
  broken: 503,
};

/** The status that promises no more than is known. */
export function errorStatus(reason: ErrorReason, mayHaveRun: boolean): number {
  if (!mayHaveRun) return STATUS_NOT_RUN[reason];
  return reason === "time_up" ? 504 : 502;
}

/** Sends an answer of the gateway's own; `retryAfter` in milliseconds. */
export function sendErrorResponse(
  response: ServerResponse,
  status: number,
  reason: ErrorReason,
  retryAfter?: number,
): void {
  const body = JSON.stringify({ reason }) + "\n";
  const headers: Record<string, string | number> = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  };
  if (retryAfter !== undefined && (status === 503 || status === 429)) {
    headers["retry-after"] = (retryAfter / 1000).toFixed(2);
  }
  response.writeHead(status, headers);
  response.end(body);
}

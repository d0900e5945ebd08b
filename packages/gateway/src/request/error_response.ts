/** Error responses that the gateway itself sends to callers. @module */
import type { ServerResponse } from "node:http";

/** Why the gateway sends an error; stated in the body. */
export type ErrorReason =
  | "no_configuration"
  | "no_route"
  | "bad_credential"
  | "head_too_large"
  | "body_too_large"
  | "quota"
  | "overload"
  /** Overload that lasts beyond the time at which the caller may return. */
  | "no_capacity"
  | "no_server"
  /** No data centre lies in a region that route and organisation allow. */
  | "no_home"
  | "expired"
  /** It needs more memory than any server of its service has. */
  | "too_large"
  /** The entry holds as much for slow callers and servers as it may. */
  | "memory"
  | "quarantined"
  | "not_run"
  | "stopping"
  | "time_up"
  | "broken"
  /** A fault of the gateway; the request may have run. */
  | "internal";

/** HTTP status of each reason for a request that has certainly not run. */
const STATUS_NOT_RUN: Record<ErrorReason, number> = {
  no_configuration: 503,
  no_route: 404,
  bad_credential: 401,
  head_too_large: 431,
  body_too_large: 413,
  quota: 429,
  overload: 503,
  no_capacity: 503,
  no_server: 503,
  no_home: 503,
  expired: 503,
  too_large: 503,
  memory: 503,
  quarantined: 503,
  not_run: 503,
  stopping: 503,
  time_up: 503,
  broken: 503,
  internal: 500,
};

/** HTTP status of an error; 502 or 504 if the request may have run. */
export function errorStatus(reason: ErrorReason, mayHaveRun: boolean): number {
  if (!mayHaveRun) return STATUS_NOT_RUN[reason];
  return reason === "time_up" ? 504 : 502;
}

/** Sends an error response; `retryAfter` in milliseconds. */
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

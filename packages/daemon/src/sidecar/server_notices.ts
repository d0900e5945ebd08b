/**
 * What the sidecar's backend server states about itself in its responses: that
 * it leaves, and for how long it wants no requests after it turned one away.
 * @module
 */
import { parseRetryAfter } from "@sycamorepulley/decisions";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import type { Log } from "../common/log.ts";

/** Value of the header of a server that leaves; others mean nothing. */
const LEAVING = "1";
/** HTTP status of a server that turns a request away for its own state. */
const UNAVAILABLE = 503;

/** Reads notices from the heads of responses. */
export class ServerNotices {
  readonly #leavingHeader: string;
  readonly #log: Log;

  constructor(options: { leavingHeader: string; log: Log }) {
    this.#leavingHeader = options.leavingHeader.toLowerCase();
    this.#log = options.log;
  }

  statesLeaving(headers: HttpHeaders): boolean {
    const value = headers[this.#leavingHeader];
    return value !== undefined && String(value).trim() === LEAVING;
  }

  /** Milliseconds of backoff that the server requests; 0 if it does not. */
  requestedBackoff(status: number, headers: HttpHeaders): number {
    if (status !== UNAVAILABLE) return 0;
    const requested = parseRetryAfter(headers["retry-after"]);
    if (requested.isErr) {
      const { error: value } = requested;
      this.#log.warn("malformed retry-after of the server ignored", { value });
      return 0;
    }
    return requested.value ?? 0;
  }
}

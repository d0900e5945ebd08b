/**
 * The end of a request: one response, or none if its caller has disconnected.
 * @module
 */
import type { RefusalInputs, ServerRecord } from "@sycamorepulley/decisions";
import type { ResponseProgress } from "./response_progress.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { ExchangeResult } from "./exchange.ts";
import { errorStatus } from "./error_response.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestReport } from "./request_report.ts";

/** Maximum fraction of the remaining time that a caller is asked to wait. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/** Why a request fails or is refused; durations in milliseconds. */
export type GiveUpOptions = {
  reason: ErrorReason;
  mayHaveRun: boolean;
  /** Until the deadline of the request. */
  remainingTime: number;
  retryAfter?: number | undefined;
  /** Fingerprints of the request that are quarantined together. */
  quarantined?: readonly string[];
  /** The entry that refused the request, and the inputs of its decision. */
  decision?: { by: string; inputs: RefusalInputs } | undefined;
};

/** Sends the final response once, and logs and counts it. */
export class FinalResponse {
  readonly #caller: CallerConnection;
  readonly #report: RequestReport;
  #settled = false;

  constructor(caller: CallerConnection, report: RequestReport) {
    this.#caller = caller;
    this.#report = report;
  }

  /** True if the response was sent, or the caller has disconnected. */
  get settled(): boolean {
    return this.#settled;
  }

  /** Records that the caller has disconnected. */
  recordDisconnect(state: "sent" | "waiting"): void {
    this.#settled = true;
    this.#report.recordDisconnect(state);
  }

  /** Ends a stream that was passed on completely. */
  endStream(server: ServerRecord, progress: ResponseProgress): void {
    this.#settled = true;
    this.#caller.endStream();
    this.#report.recordResponse(server, 200, progress);
  }

  /** Sends a server's complete plain response. */
  sendPlain(
    server: ServerRecord,
    { head, body }: Extract<ExchangeResult, { kind: "plain" }>,
    progress: ResponseProgress,
  ): void {
    if (this.#caller.responseStarted) {
      this.abort(
        server,
        `response with status ${head.status} to a resumed stream`,
      );
      return;
    }
    this.#settled = true;
    this.#caller.sendResponse(head, body);
    this.#report.recordResponse(server, head.status, progress);
  }

  /** Closes the connection, so that a partial response can't look complete. */
  abort(server: ServerRecord | undefined, reason: string): void {
    this.#settled = true;
    this.#caller.abortResponse();
    this.#report.recordAbort(server, reason);
  }

  /** Sends an error, or aborts a response that has already started. */
  giveUp(options: GiveUpOptions): void {
    if (this.#caller.disconnected || this.#settled) return;
    const { reason, mayHaveRun, remainingTime, retryAfter } = options;
    const { decision, quarantined } = options;
    if (this.#caller.responseStarted) {
      this.abort(undefined, reason);
      return;
    }
    this.#settled = true;
    const status = errorStatus(reason, mayHaveRun);
    const limitedRetryAfter = retryAfter === undefined ? undefined : Math.min(
      retryAfter,
      Math.max(0, remainingTime) * MAX_RETRY_AFTER_FRACTION,
    );
    const stated = reason === "no_capacity" ? "overload" : reason;
    this.#caller.sendError(status, stated, limitedRetryAfter);
    this.#report.recordRefusal(reason, {
      status,
      retryAfter: limitedRetryAfter ?? 0,
      mayHaveRun,
      ...(decision && { decision }),
      ...(quarantined && { quarantined }),
    });
  }
}

/** What a caller is told in the end: one answer, or none once it has left. @module */
import type { RefusalInputs, ServerRecord } from "@sycamorepulley/decisions";
import type { ResponseProgress } from "./response_progress.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { ExchangeResult } from "./exchange.ts";
import { errorStatus } from "./error_response.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestReport } from "./request_report.ts";

/** Part of the time left that a caller is asked to wait at most. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/** Why a request is given up; durations in milliseconds. */
export type GiveUpOptions = {
  reason: ErrorReason;
  mayHaveRun: boolean;
  /** Until its caller's time is over. */
  remainingTime: number;
  retryAfter?: number | undefined;
  /** The entry that decided, and what it saw. */
  decision?: { by: string; seen: RefusalInputs } | undefined;
};

/** Tells the caller once, and reports it. */
export class FinalResponse {
  readonly #caller: CallerConnection;
  readonly #report: RequestReport;
  #settled = false;

  constructor(caller: CallerConnection, report: RequestReport) {
    this.#caller = caller;
    this.#report = report;
  }

  /** The caller has its answer, or none is owed any more. */
  get settled(): boolean {
    return this.#settled;
  }

  /** The caller has left. */
  reportDisconnect(state: "sent" | "waiting"): void {
    this.#settled = true;
    this.#report.left(state);
  }

  /** A stream was passed on to its end. */
  endStream(
    server: ServerRecord,
    closeDelimited: boolean,
    progress: ResponseProgress,
  ): void {
    this.#settled = true;
    this.#caller.endStream(closeDelimited);
    this.#report.answered(server, 200, progress);
  }

  /** A whole plain answer of a server. */
  sendPlain(
    server: ServerRecord,
    { head, body }: Extract<ExchangeResult, { kind: "plain" }>,
    progress: ResponseProgress,
  ): void {
    if (this.#caller.responseStarted) {
      this.abort(server, `status ${head.status} to a resumed stream`);
      return;
    }
    this.#settled = true;
    this.#caller.sendResponse(head, body);
    this.#report.answered(server, head.status, progress);
  }

  /** Ends the connection, so that what was passed on can't look whole. */
  abort(server: ServerRecord | undefined, reason: string): void {
    this.#settled = true;
    this.#caller.abortResponse();
    this.#report.cut(server, reason);
  }

  giveUp(why: GiveUpOptions): void {
    if (this.#caller.disconnected || this.#settled) return;
    const {
      reason,
      mayHaveRun,
      remainingTime: left,
      retryAfter,
      decision: decided,
    } = why;
    if (this.#caller.responseStarted) {
      this.abort(undefined, reason);
      return;
    }
    this.#settled = true;
    const status = errorStatus(reason, mayHaveRun);
    const wait = retryAfter === undefined
      ? undefined
      : Math.min(retryAfter, Math.max(0, left) * MAX_RETRY_AFTER_SHARE);
    this.#caller.sendError(status, reason, wait);
    this.#report.refused(reason, {
      status,
      retryAfter: wait ?? 0,
      mayHaveRun,
      ...(decided && { decided }),
    });
  }
}

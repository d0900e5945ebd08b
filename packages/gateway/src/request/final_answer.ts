/** What a caller is told in the end: one answer, or none once it has left. @module */
import type { RefusalInputs, ServerRecord } from "@sycamorepulley/decisions";
import type { AnswerProgress } from "./answer_progress.ts";
import type { Caller } from "./caller.ts";
import type { ExchangeEnd } from "./exchange.ts";
import { statusOf } from "./reply.ts";
import type { ReplyReason } from "./reply.ts";
import type { RequestReport } from "./request_report.ts";

/** Part of the time left that a caller is asked to wait at most. */
const LONGEST_RETRY_PART = 1 / 3;

/** Why a request is given up; durations in milliseconds. */
export type GivenUp = {
  reason: ReplyReason;
  mayHaveRun: boolean;
  /** Until its caller's time is over. */
  left: number;
  retryAfter?: number | undefined;
  /** The entry that decided, and what it saw. */
  decided?: { by: string; seen: RefusalInputs } | undefined;
};

/** Tells the caller once, and reports it. */
export class FinalAnswer {
  readonly #caller: Caller;
  readonly #report: RequestReport;
  #given = false;

  constructor(caller: Caller, report: RequestReport) {
    this.#caller = caller;
    this.#report = report;
  }

  /** The caller has its answer, or none is owed any more. */
  get given(): boolean {
    return this.#given;
  }

  /** The caller has left. */
  left(state: "sent" | "waiting"): void {
    this.#given = true;
    this.#report.left(state);
  }

  /** A stream was passed on to its end. */
  stream(
    server: ServerRecord,
    unframed: boolean,
    progress: AnswerProgress,
  ): void {
    this.#given = true;
    this.#caller.end(unframed);
    this.#report.answered(server, 200, progress);
  }

  /** A whole plain answer of a server. */
  plain(
    server: ServerRecord,
    { head, body }: Extract<ExchangeEnd, { kind: "plain" }>,
    progress: AnswerProgress,
  ): void {
    if (this.#caller.begun) {
      this.cut(server, `status ${head.status} to a resumed stream`);
      return;
    }
    this.#given = true;
    this.#caller.answer(head, body);
    this.#report.answered(server, head.status, progress);
  }

  /** Ends the connection, so that what was passed on can't look whole. */
  cut(server: ServerRecord | undefined, reason: string): void {
    this.#given = true;
    this.#caller.cut();
    this.#report.cut(server, reason);
  }

  giveUp(why: GivenUp): void {
    if (this.#caller.left || this.#given) return;
    const { reason, mayHaveRun, left, retryAfter, decided } = why;
    if (this.#caller.begun) {
      this.cut(undefined, reason);
      return;
    }
    this.#given = true;
    const status = statusOf(reason, mayHaveRun);
    const wait = retryAfter === undefined
      ? undefined
      : Math.min(retryAfter, Math.max(0, left) * LONGEST_RETRY_PART);
    this.#caller.refuse(status, reason, wait);
    this.#report.refused(reason, {
      status,
      retryAfter: wait ?? 0,
      mayHaveRun,
      ...(decided && { decided }),
    });
  }
}

/**
 * One caller's request from its arrival to its final answer.
 *
 * Where it stands decides what may be said of it. Until something was written to
 * a server, it has not run, and a refusal says so truly. Once written, only the
 * server's own word says that it did not run; all else may have run, is not sent
 * again unless it may be repeated, and is never answered as not run.
 * @module
 */
import { incarnationOf, isRepeatable } from "@sycamorepulley/decisions";
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { Call } from "../front/parsed_request.ts";
import type { GrantResult } from "../peers/pending_grant.ts";
import { AnswerProgress } from "./answer_progress.ts";
import { fingerprintOf } from "./backend_headers.ts";
import type { Caller } from "./caller.ts";
import type { ExchangeEnd } from "./exchange.ts";
import { FinalAnswer } from "./final_answer.ts";
import type { GivenUp } from "./final_answer.ts";
import { lapseOf, LEAST_TIME_LEFT } from "./patience.ts";
import type { ReplyReason } from "./reply.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestReport } from "./request_report.ts";
import type { ResolvedRequest } from "./resolve_request.ts";
import { ServerTry } from "./server_try.ts";
import type { TriedAt, TryEnd } from "./server_try.ts";

/**
 * Grants that one request may use up, whatever became of them. A refused connect
 * takes a millisecond and reaches nobody; a whole data centre of servers may be
 * down, and each refuses one.
 */
const MOST_GRANTS = 20;
/** Milliseconds after which a refused caller may come back, if nothing is known. */
const DEFAULT_RETRY_AFTER = 300;

/** See the module. */
export class RequestTask {
  readonly #context: RequestContext;
  readonly #call: Call;
  readonly #resolved: ResolvedRequest;
  readonly #caller: Caller;
  readonly #body: Buffer | undefined;
  readonly #fingerprint: string;
  readonly #report: RequestReport;
  readonly #answer: FinalAnswer;
  readonly #progress = new AnswerProgress();
  readonly #avoid: string[] = [];
  /** Servers that something was written to and that may have run it. */
  #sent = 0;
  #mayHaveRun = false;
  #stop: (() => void) | undefined;
  #timeUp = false;
  /** The resend after a silence is paid for already. */
  #retryTaken = false;

  constructor(
    options: {
      context: RequestContext;
      call: Call;
      resolved: ResolvedRequest;
      caller: Caller;
      body: Buffer | undefined;
    },
  ) {
    this.#context = options.context;
    this.#call = options.call;
    this.#resolved = options.resolved;
    this.#caller = options.caller;
    this.#body = options.body;
    const { context, call, resolved } = options;
    this.#report = new RequestReport(context, call, resolved);
    this.#answer = new FinalAnswer(options.caller, this.#report);
    this.#fingerprint = fingerprintOf(
      options.call,
      options.body,
      options.context.headerNames.requestId,
    );
  }

  /** The caller has left: nothing more is done for it. */
  left(): void {
    this.#stop?.();
  }

  async run(): Promise<void> {
    const { clock } = this.#context;
    const left = this.#resolved.deadline - clock();
    const timer = setTimeout(() => {
      this.#timeUp = true;
      this.#stop?.();
    }, Math.max(0, left));
    try {
      await this.#attempts();
    } finally {
      clearTimeout(timer);
    }
  }

  async #attempts(): Promise<void> {
    for (let grant = 1; grant <= MOST_GRANTS; grant++) {
      if (this.#over()) return;
      const answer = await this.#ask(grant);
      if (this.#over()) {
        // A grant that is kept without a request takes a place for ever.
        if (answer !== undefined) this.#context.grantClient.withdraw(answer.id);
        return;
      }
      if (answer === undefined) continue;
      await this.#sendTo(answer.id, answer.server);
    }
    if (this.#over()) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** True when the caller has left or the time is up; the latter is answered. */
  #over(): boolean {
    if (this.#answer.given) return true;
    if (this.#caller.left) {
      this.#answer.left(this.#sent > 0 ? "sent" : "waiting");
      return true;
    }
    const left = this.#resolved.deadline - this.#context.clock();
    if (!this.#timeUp && left >= LEAST_TIME_LEFT) return false;
    this.#giveUp("time_up");
    return true;
  }

  /** A granted server; `undefined` after a refusal, or to ask again. */
  async #ask(
    grant: number,
  ): Promise<{ id: string; server: ServerRecord } | undefined> {
    const { grantClient: granter, clock, findServer: server } = this.#context;
    const { route, service, organisation, cost, charge } = this.#resolved;
    const { tierRank, routeRank } = this.#resolved;
    const asked = clock();
    const { lastEvent } = this.#progress;
    const from = lastEvent === undefined ? this.#call.arrived : asked;
    const { id, result: answer } = granter.submit({
      service,
      organisation,
      tierRank,
      routeRank,
      cost,
      charge,
      dataCentre: this.#context.dataCentre,
      arrived: this.#call.arrived,
      latencyGoalAt: this.#call.arrived + route.latencyGoal,
      expiresAt: Math.min(
        lapseOf(this.#resolved, from),
        this.#context.drainAdmission.latestStartTime(this.#resolved),
      ),
      deadline: this.#resolved.deadline,
      fingerprint: this.#fingerprint,
      jitter: this.#context.random(),
      excludedServers: [...this.#avoid],
    });
    const verdict = await this.#orStopped(answer);
    if (verdict === undefined) {
      granter.withdraw(id);
      return undefined;
    }
    if (verdict.kind === "refuse") {
      this.#giveUp(verdict.reason, verdict.retryAfter, verdict);
      return undefined;
    }
    const record = server(verdict.server);
    if (record === undefined) {
      // It is leaving, and the one that granted has not heard of it yet.
      granter.withdraw(id);
      this.#avoid.push(verdict.server);
      return undefined;
    }
    const waited = clock() - asked;
    const { by } = verdict;
    this.#report.granted(record, { waited, by, attempt: grant });
    return { id, server: record };
  }

  async #sendTo(ask: string, server: ServerRecord): Promise<void> {
    const { connectionPool: pool, grantClient: granter } = this.#context;
    const incarnation = incarnationOf(server);
    const strict = !isRepeatable(this.#resolved.route);
    const channel = await pool.take(server, strict);
    if (channel.isErr) {
      // Nothing reached the server, so no resend is spent.
      granter.recordEnd(ask, channel.error);
      this.#avoid.push(incarnation);
      this.#report.retried(server, channel.error, this.#sent);
      return;
    }
    if (this.#caller.left || this.#timeUp || this.#gone(incarnation)) {
      granter.withdraw(ask);
      pool.give(server, channel.value);
      return;
    }
    const at = { ask, server, channel: channel.value };
    this.#settle(at, await this.#try(at));
  }

  #gone(incarnation: string): boolean {
    if (this.#context.findServer(incarnation) !== undefined) return false;
    this.#avoid.push(incarnation);
    return true;
  }

  async #try(at: TriedAt): Promise<TryEnd> {
    const context = this.#context;
    const attempt = new ServerTry({
      context,
      call: this.#call,
      resolved: this.#resolved,
      caller: this.#caller,
      body: this.#body,
      progress: this.#progress,
    }, at);
    this.#stop = () => attempt.abort();
    this.#sent++;
    this.#mayHaveRun = true;
    const end = await attempt.run(
      this.#mayTryAnother() ? () => this.#leaveSilent(at.server) : undefined,
    );
    this.#stop = undefined;
    return end;
  }

  /** True if the request goes on elsewhere while its server is silent. */
  #leaveSilent(server: ServerRecord): boolean {
    this.#retryTaken = this.#takeRetry(server, "silent");
    return this.#retryTaken;
  }

  #settle({ ask, server, channel }: TriedAt, { end, runEnd }: TryEnd): void {
    const {
      grantClient: granter,
      connectionPool: pool,
      activeConfiguration: inForce,
      clock,
    } = this.#context;
    const { services } = inForce()?.configuration ?? {};
    const { route, service } = this.#resolved;
    const pace = this.#progress.pace(this.#sent, {
      tokensPerEvent: services?.get(service)?.tokensPerEvent ?? 1,
      acceptedPause: route.pauseGoal,
    }, clock());
    granter.recordEnd(ask, runEnd, pace);
    switch (end.kind) {
      case "stream":
        pool.give(server, channel);
        this.#answer.stream(server, end.unframed, this.#progress);
        return;
      case "plain":
        pool.give(server, channel);
        this.#plain(server, end);
        return;
      case "not_run":
        pool.give(server, channel);
        this.#notRun();
        this.#avoid.push(incarnationOf(server));
        this.#spendRetry(server, "not_run");
        return;
      case "broken":
        this.#avoid.push(incarnationOf(server));
        this.#broken(server, end.detail);
        return;
      case "aborted":
    }
  }

  /** A server said that it did not run what was sent to it last. */
  #notRun(): void {
    this.#sent--;
    this.#mayHaveRun = this.#sent > 0;
  }

  #plain(
    server: ServerRecord,
    end: Extract<ExchangeEnd, { kind: "plain" }>,
  ): void {
    const failed = end.head.status >= 500;
    if (failed && this.#mayTryAnother() && this.#takeRetry(server, "failed")) {
      this.#avoid.push(incarnationOf(server));
      return;
    }
    this.#answer.plain(server, end, this.#progress);
  }

  #broken(server: ServerRecord, detail: string): void {
    if (this.#retryTaken) {
      this.#retryTaken = false;
      return;
    }
    if (this.#mayTryAnother() && this.#takeRetry(server, "broken")) return;
    if (this.#caller.begun) this.#answer.cut(server, detail);
    else this.#giveUp("broken");
  }

  /** What may have run may go to another server only if it may be repeated. */
  #mayTryAnother(): boolean {
    const { route } = this.#resolved;
    return isRepeatable(route) && this.#sent < route.maximumServers;
  }

  /** Goes on after a try that did not run the request, or answers finally. */
  #spendRetry(server: ServerRecord, reason: string): void {
    if (this.#takeRetry(server, reason)) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** Takes a resend from the service's budget; false when it is spent. */
  #takeRetry(server: ServerRecord, reason: string): boolean {
    const { consumeRetry: takeResend, clock } = this.#context;
    const { service } = this.#resolved;
    if (!takeResend(service, clock())) return false;
    this.#report.retried(server, reason, this.#sent);
    return true;
  }

  #giveUp(
    reason: ReplyReason,
    retryAfter?: number,
    decided?: GivenUp["decided"],
  ): void {
    this.#answer.giveUp({
      reason,
      mayHaveRun: this.#mayHaveRun,
      left: this.#resolved.deadline - this.#context.clock(),
      retryAfter,
      decided,
    });
  }

  /** The answer, or `undefined` once the caller left or the time was up. */
  #orStopped(answer: Promise<GrantResult>): Promise<GrantResult | undefined> {
    return new Promise((resolve) => {
      this.#stop = () => resolve(undefined);
      if (this.#caller.left || this.#timeUp) resolve(undefined);
      void answer.then((verdict) => {
        this.#stop = undefined;
        resolve(verdict);
      });
    });
  }
}

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
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { GrantResult } from "../peers/pending_grant.ts";
import { ResponseProgress } from "./response_progress.ts";
import { requestFingerprint } from "./backend_headers.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { ExchangeResult } from "./exchange.ts";
import { FinalResponse } from "./final_response.ts";
import type { GiveUpOptions } from "./final_response.ts";
import { grantDeadline, MIN_REMAINING_TIME } from "./timeouts.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestReport } from "./request_report.ts";
import type { ResolvedRequest } from "./resolve_request.ts";
import { ServerAttempt } from "./server_attempt.ts";
import type { AttemptResult, AttemptTarget } from "./server_attempt.ts";

/**
 * Grants that one request may use up, whatever became of them. A refused connect
 * takes a millisecond and reaches nobody; a whole data centre of servers may be
 * down, and each refuses one.
 */
const MAX_GRANTS = 20;
/** Milliseconds after which a refused caller may come back, if nothing is known. */
const DEFAULT_RETRY_AFTER = 300;

/** See the module. */
export class RequestTask {
  readonly #context: RequestContext;
  readonly #call: ParsedRequest;
  readonly #resolved: ResolvedRequest;
  readonly #caller: CallerConnection;
  readonly #body: Buffer | undefined;
  readonly #fingerprint: string;
  readonly #report: RequestReport;
  readonly #response: FinalResponse;
  readonly #progress = new ResponseProgress();
  readonly #excludedServers: string[] = [];
  /** Servers that something was written to and that may have run it. */
  #serversSentTo = 0;
  #mayHaveRun = false;
  #cancelStep: (() => void) | undefined;
  #timedOut = false;
  /** The resend after a silence is paid for already. */
  #retryConsumed = false;

  constructor(
    options: {
      context: RequestContext;
      call: ParsedRequest;
      resolved: ResolvedRequest;
      caller: CallerConnection;
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
    this.#response = new FinalResponse(options.caller, this.#report);
    this.#fingerprint = requestFingerprint(
      options.call,
      options.body,
      options.context.headerNames.requestId,
    );
  }

  /** The caller has left: nothing more is done for it. */
  callerDisconnected(): void {
    this.#cancelStep?.();
  }

  async run(): Promise<void> {
    const { clock } = this.#context;
    const left = this.#resolved.deadline - clock();
    const timer = setTimeout(() => {
      this.#timedOut = true;
      this.#cancelStep?.();
    }, Math.max(0, left));
    try {
      await this.#runAttempts();
    } finally {
      clearTimeout(timer);
    }
  }

  async #runAttempts(): Promise<void> {
    for (let grant = 1; grant <= MAX_GRANTS; grant++) {
      if (this.#isOver()) return;
      const answer = await this.#requestGrant(grant);
      if (this.#isOver()) {
        // A grant that is kept without a request takes a place for ever.
        if (answer !== undefined) this.#context.grantClient.withdraw(answer.id);
        return;
      }
      if (answer === undefined) continue;
      await this.#sendToServer(answer.id, answer.server);
    }
    if (this.#isOver()) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** True when the caller has left or the time is up; the latter is answered. */
  #isOver(): boolean {
    if (this.#response.settled) return true;
    if (this.#caller.disconnected) {
      this.#response.reportDisconnect(
        this.#serversSentTo > 0 ? "sent" : "waiting",
      );
      return true;
    }
    const left = this.#resolved.deadline - this.#context.clock();
    if (!this.#timedOut && left >= MIN_REMAINING_TIME) return false;
    this.#giveUp("time_up");
    return true;
  }

  /** A granted server; `undefined` after a refusal, or to ask again. */
  async #requestGrant(
    grant: number,
  ): Promise<{ id: string; server: ServerRecord } | undefined> {
    const { grantClient: granter, clock, findServer: server } = this.#context;
    const { route, service, organisation, cost, charge } = this.#resolved;
    const { tierRank, routeRank } = this.#resolved;
    const asked = clock();
    const { lastEvent } = this.#progress;
    const from = lastEvent === undefined ? this.#call.arrivedAt : asked;
    const { id, result: answer } = granter.submit({
      service,
      organisation,
      tierRank,
      routeRank,
      cost,
      charge,
      dataCentre: this.#context.dataCentre,
      arrived: this.#call.arrivedAt,
      latencyGoalAt: this.#call.arrivedAt + route.latencyGoal,
      expiresAt: Math.min(
        grantDeadline(this.#resolved, from),
        this.#context.drainAdmission.latestStartTime(this.#resolved),
      ),
      deadline: this.#resolved.deadline,
      fingerprint: this.#fingerprint,
      jitter: this.#context.random(),
      excludedServers: [...this.#excludedServers],
    });
    const verdict = await this.#unlessCancelled(answer);
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
      this.#excludedServers.push(verdict.server);
      return undefined;
    }
    const waited = clock() - asked;
    const { by } = verdict;
    this.#report.granted(record, { waited, by, attempt: grant });
    return { id, server: record };
  }

  async #sendToServer(ask: string, server: ServerRecord): Promise<void> {
    const { connectionPool: pool, grantClient: granter } = this.#context;
    const incarnation = incarnationOf(server);
    const strict = !isRepeatable(this.#resolved.route);
    const channel = await pool.acquire(server, strict);
    if (channel.isErr) {
      // Nothing reached the server, so no resend is spent.
      granter.recordEnd(ask, channel.error);
      this.#excludedServers.push(incarnation);
      this.#report.retried(server, channel.error, this.#serversSentTo);
      return;
    }
    if (
      this.#caller.disconnected || this.#timedOut ||
      this.#excludeIfUnusable(incarnation)
    ) {
      granter.withdraw(ask);
      pool.release(server, channel.value);
      return;
    }
    const at = { ask, server, channel: channel.value };
    this.#handleResult(at, await this.#runAttempt(at));
  }

  #excludeIfUnusable(incarnation: string): boolean {
    if (this.#context.findServer(incarnation) !== undefined) return false;
    this.#excludedServers.push(incarnation);
    return true;
  }

  async #runAttempt(at: AttemptTarget): Promise<AttemptResult> {
    const context = this.#context;
    const attempt = new ServerAttempt({
      context,
      call: this.#call,
      resolved: this.#resolved,
      caller: this.#caller,
      body: this.#body,
      progress: this.#progress,
    }, at);
    this.#cancelStep = () => attempt.abort();
    this.#serversSentTo++;
    this.#mayHaveRun = true;
    const end = await attempt.run(
      this.#mayUseAnotherServer()
        ? () => this.#abandonSilentServer(at.server)
        : undefined,
    );
    this.#cancelStep = undefined;
    return end;
  }

  /** True if the request goes on elsewhere while its server is silent. */
  #abandonSilentServer(server: ServerRecord): boolean {
    this.#retryConsumed = this.#consumeRetry(server, "silent");
    return this.#retryConsumed;
  }

  #handleResult(
    { ask, server, channel }: AttemptTarget,
    { end, runEnd }: AttemptResult,
  ): void {
    const {
      grantClient: granter,
      connectionPool: pool,
      activeConfiguration: inForce,
      clock,
    } = this.#context;
    const { services } = inForce()?.configuration ?? {};
    const { route, service } = this.#resolved;
    const pace = this.#progress.timing(this.#serversSentTo, {
      tokensPerEvent: services?.get(service)?.tokensPerEvent ?? 1,
      acceptedPause: route.pauseGoal,
    }, clock());
    granter.recordEnd(ask, runEnd, pace);
    switch (end.kind) {
      case "stream":
        pool.release(server, channel);
        this.#response.endStream(server, end.closeDelimited, this.#progress);
        return;
      case "plain":
        pool.release(server, channel);
        this.#handlePlainResponse(server, end);
        return;
      case "not_run":
        pool.release(server, channel);
        this.#uncountServer();
        this.#excludedServers.push(incarnationOf(server));
        this.#retryOrRefuse(server, "not_run");
        return;
      case "broken":
        this.#excludedServers.push(incarnationOf(server));
        this.#handleBrokenResponse(server, end.detail);
        return;
      case "aborted":
    }
  }

  /** A server said that it did not run what was sent to it last. */
  #uncountServer(): void {
    this.#serversSentTo--;
    this.#mayHaveRun = this.#serversSentTo > 0;
  }

  #handlePlainResponse(
    server: ServerRecord,
    end: Extract<ExchangeResult, { kind: "plain" }>,
  ): void {
    const failed = end.head.status >= 500;
    if (
      failed && this.#mayUseAnotherServer() &&
      this.#consumeRetry(server, "failed")
    ) {
      this.#excludedServers.push(incarnationOf(server));
      return;
    }
    this.#response.sendPlain(server, end, this.#progress);
  }

  #handleBrokenResponse(server: ServerRecord, detail: string): void {
    if (this.#retryConsumed) {
      this.#retryConsumed = false;
      return;
    }
    if (this.#mayUseAnotherServer() && this.#consumeRetry(server, "broken")) {
      return;
    }
    if (this.#caller.responseStarted) this.#response.abort(server, detail);
    else this.#giveUp("broken");
  }

  /** What may have run may go to another server only if it may be repeated. */
  #mayUseAnotherServer(): boolean {
    const { route } = this.#resolved;
    return isRepeatable(route) && this.#serversSentTo < route.maximumServers;
  }

  /** Goes on after a try that did not run the request, or answers finally. */
  #retryOrRefuse(server: ServerRecord, reason: string): void {
    if (this.#consumeRetry(server, reason)) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** Takes a resend from the service's budget; false when it is spent. */
  #consumeRetry(server: ServerRecord, reason: string): boolean {
    const { consumeRetry: takeResend, clock } = this.#context;
    const { service } = this.#resolved;
    if (!takeResend(service, clock())) return false;
    this.#report.retried(server, reason, this.#serversSentTo);
    return true;
  }

  #giveUp(
    reason: ErrorReason,
    retryAfter?: number,
    decided?: GiveUpOptions["decision"],
  ): void {
    this.#response.giveUp({
      reason,
      mayHaveRun: this.#mayHaveRun,
      remainingTime: this.#resolved.deadline - this.#context.clock(),
      retryAfter,
      decision: decided,
    });
  }

  /** The answer, or `undefined` once the caller left or the time was up. */
  #unlessCancelled(
    answer: Promise<GrantResult>,
  ): Promise<GrantResult | undefined> {
    return new Promise((resolve) => {
      this.#cancelStep = () => resolve(undefined);
      if (this.#caller.disconnected || this.#timedOut) resolve(undefined);
      void answer.then((verdict) => {
        this.#cancelStep = undefined;
        resolve(verdict);
      });
    });
  }
}

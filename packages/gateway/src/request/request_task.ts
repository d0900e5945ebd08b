/**
 * Runs one caller's request from its arrival to its final response.
 *
 * A request has certainly not run until something was written to a server;
 * until then it may be refused as not run. After that, only an explicit
 * statement of the server (status 421, or the `notRun` header) proves that it
 * did not run. In all other cases it may have run: it is retried only if its
 * route allows repetition, and it is never reported to the caller as not run.
 * @module
 */
import {
  fingerprintsOf,
  incarnationOf,
  isInterrupted,
  isRepeatable,
} from "@sycamorepulley/decisions";
import type {
  ServerRecord,
  StreamTiming,
  SuspectVerdict,
} from "@sycamorepulley/decisions";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type {
  GrantRequestOptions,
  SubmittedRequest,
} from "../peers/grant_client.ts";
import type { GrantResult } from "../peers/pending_grant.ts";
import { ResponseProgress } from "./response_progress.ts";
import { requestFingerprint } from "./backend_headers.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { ExchangeResult } from "./exchange.ts";
import { FinalResponse } from "./final_response.ts";
import type { GiveUpOptions } from "./final_response.ts";
import { HedgedAttempt } from "./hedged_attempt.ts";
import type { DecidingRun } from "./hedged_attempt.ts";
import type { PlacementSteps } from "./hedge_placement.ts";
import {
  callerPatience,
  grantDeadline,
  MIN_REMAINING_TIME,
} from "./timeouts.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestContext } from "./request_context.ts";
import { ServerEligibility } from "./server_eligibility.ts";
import type { Grant } from "./server_eligibility.ts";
import { RequestReport } from "./request_report.ts";
import type { RunClosure } from "./run_closure.ts";
import type { ResolvedRequest } from "./resolve_request.ts";
import { ServerAttempt } from "./server_attempt.ts";
import type {
  AttemptHooks,
  AttemptResult,
  AttemptTarget,
} from "./server_attempt.ts";

/**
 * Maximum number of grants for one request, including those that failed. A
 * refused connection costs about a millisecond and runs nothing, and when a
 * whole data centre is down every server in it refuses one.
 */
const MAX_GRANTS = 20;
/** Milliseconds a refused caller is asked to wait by default. */
const DEFAULT_RETRY_AFTER = 300;
/**
 * The same for a request that may run in no data centre: only a change of the
 * configuration helps.
 */
const NO_HOME_RETRY_AFTER = 10_000;
/** Lowest HTTP status of a server's own errors. */
const FIRST_SERVER_ERROR = 500;
/** HTTP statuses that promise callers that the request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Gets grants for a request, sends it to servers, responds to the caller. */
export class RequestTask {
  readonly #context: RequestContext;
  readonly #parsed: ParsedRequest;
  readonly #resolved: ResolvedRequest;
  readonly #caller: CallerConnection;
  readonly #body: Buffer | undefined;
  readonly #fingerprint: string;
  readonly #report: RequestReport;
  readonly #response: FinalResponse;
  readonly #progress = new ResponseProgress();
  readonly #eligibility: ServerEligibility;
  /** Number of servers that were sent the request and may have run it. */
  #serversSentTo = 0;
  #mayHaveRun = false;
  #cancelStep: (() => void) | undefined;
  #timedOut = false;
  /** True once the request is given up because this process ends. */
  #stopping = false;
  #disconnectedAt: number | undefined;

  constructor(
    options: {
      context: RequestContext;
      parsed: ParsedRequest;
      resolved: ResolvedRequest;
      caller: CallerConnection;
      body: Buffer | undefined;
    },
  ) {
    this.#context = options.context;
    this.#parsed = options.parsed;
    this.#resolved = options.resolved;
    this.#caller = options.caller;
    this.#body = options.body;
    const { context, parsed, resolved } = options;
    this.#eligibility = new ServerEligibility(context, resolved);
    this.#report = new RequestReport(context, parsed, resolved);
    this.#response = new FinalResponse(options.caller, this.#report);
    this.#fingerprint = requestFingerprint(
      parsed,
      resolved.organisation,
      options.body,
    );
  }

  /** Cancels the current step, as nobody waits for the response any more. */
  handleDisconnect(): void {
    this.#disconnectedAt ??= this.#context.clock();
    this.#cancelStep?.();
  }

  /** Refuses a request that was not sent and can't end before the process. */
  refuseIfLate(now: number): void {
    if (now > this.#latestStartTime) this.endAtStop();
  }

  /**
   * Latest time to send the request, as this process ends. A request that was
   * sent may be sent again whenever its response would be lost otherwise.
   */
  get #latestStartTime(): number {
    const { drainAdmission, clock } = this.#context;
    return this.#serversSentTo > 0
      ? Infinity
      : drainAdmission.latestStartTime(this.#resolved, clock());
  }

  /** Ends the request with an error, as this process ends. */
  endAtStop(): void {
    if (this.#serversSentTo > 0 && !this.#stopping) {
      this.#report.recordStopCut();
    }
    this.#stopping = true;
    this.#cancelStep?.();
  }

  async run(): Promise<void> {
    const { clock } = this.#context;
    const remaining = this.#resolved.deadline - clock();
    const timer = setTimeout(() => {
      this.#timedOut = true;
      this.#cancelStep?.();
    }, Math.max(0, remaining));
    try {
      await this.#runAttempts();
    } finally {
      clearTimeout(timer);
    }
  }

  async #runAttempts(): Promise<void> {
    for (let grant = 1; grant <= MAX_GRANTS; grant++) {
      if (this.#finishIfOver()) return;
      const granted = await this.#requestGrant(grant);
      if (this.#finishIfOver()) {
        // A grant that is never withdrawn would occupy its slot for ever.
        if (granted !== undefined) {
          this.#context.grantClient.withdraw(granted.id);
        }
        return;
      }
      if (granted === undefined) continue;
      await this.#sendToServer(granted);
    }
    if (this.#finishIfOver()) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /**
   * Returns true if the request has its response, its caller has disconnected,
   * its time is up, or this process ends. Records a disconnect, and sends an
   * error in the last two cases.
   */
  #finishIfOver(): boolean {
    if (this.#response.settled) return true;
    if (this.#caller.disconnected) {
      this.#response.recordDisconnect(
        this.#serversSentTo > 0 ? "sent" : "waiting",
      );
      return true;
    }
    const { clock, drainAdmission } = this.#context;
    if (this.#stopping) {
      this.#giveUp("stopping", drainAdmission.retryAfter(clock()));
      return true;
    }
    const remaining = this.#resolved.deadline - clock();
    if (!this.#timedOut && remaining >= MIN_REMAINING_TIME) return false;
    this.#giveUp("time_up");
    return true;
  }

  /**
   * Resolves to the granted server, or to `undefined` if the request was
   * refused, was cancelled, or has to request another grant.
   */
  async #requestGrant(
    grant: number,
  ): Promise<Grant | undefined> {
    const { grantClient, clock } = this.#context;
    const verdict = this.#suspectVerdict();
    if (verdict.kind === "quarantined") {
      this.#giveUp("quarantined", verdict.retryAfter);
      return undefined;
    }
    if (this.#eligibility.isNowhere) {
      this.#giveUp("no_home", NO_HOME_RETRY_AFTER);
      return undefined;
    }
    const requestedAt = clock();
    if (requestedAt > this.#latestStartTime) {
      this.endAtStop();
      return undefined;
    }
    const { lastEventId } = this.#progress;
    const from = lastEventId === undefined
      ? this.#parsed.arrivedAt
      : requestedAt;
    const { id, result } = this.#submit({
      charge: this.#resolved.charge,
      expiresAt: grantDeadline(this.#resolved, from),
      excludedServers: this.#eligibility.excluded,
    });
    const grantResult = await this.#unlessCancelled(result);
    if (grantResult === undefined) {
      grantClient.withdraw(id);
      return undefined;
    }
    if (grantResult.kind === "refuse") {
      const { reason } = grantResult;
      // No later attempt of the same request would fit any server either.
      const retryAfter = reason === "too_large"
        ? undefined
        : grantResult.retryAfter;
      this.#giveUp(reason, retryAfter, grantResult);
      return undefined;
    }
    return this.#acceptGrant(id, grantResult, { requestedAt, grant });
  }

  #submit(
    options: Pick<
      GrantRequestOptions,
      "charge" | "expiresAt" | "excludedServers"
    >,
  ): SubmittedRequest {
    const { grantClient, dataCentre, random } = this.#context;
    const { route, service, organisation, cost, deadline } = this.#resolved;
    const { tierRank, routeRank, memoryTokens } = this.#resolved;
    const { arrivedAt, promptParts } = this.#parsed;
    return grantClient.submit({
      service,
      organisation,
      tierRank,
      routeRank,
      route: route.name,
      cost,
      dataCentre,
      arrived: arrivedAt,
      latencyGoalAt: arrivedAt + route.latencyGoal,
      deadline,
      fingerprint: this.#fingerprint,
      promptParts,
      jitter: random(),
      pauseGoal: route.pauseGoal,
      bodyBytes: this.#body?.length,
      memoryTokens,
      allowedDataCentres: this.#eligibility.allowedDataCentres,
      ...options,
      expiresAt: Math.min(options.expiresAt, this.#latestStartTime),
    });
  }

  /** Returns the granted server, unless it must not be used any more. */
  #acceptGrant(
    id: string,
    { server, by }: Extract<GrantResult, { kind: "grant" }>,
    { requestedAt, grant }: { requestedAt: number; grant: number },
  ): Grant | undefined {
    const { grantClient, clock } = this.#context;
    const record = this.#eligibility.find(server);
    if (record === undefined) {
      grantClient.withdraw(id);
      return undefined;
    }
    const waited = clock() - requestedAt;
    const verdict = this.#suspectVerdict();
    const suspects = verdict.kind === "suspect" ? verdict.fingerprints : [];
    this.#report.recordGrant(record, { waited, by, attempt: grant, suspects });
    return { id, server: record, at: clock() };
  }

  async #sendToServer(grant: Grant): Promise<void> {
    const target = await this.#connect(grant);
    if (target === undefined) return;
    const { target: deciding, end } = await this.#runAttempt(target);
    this.#handleResult(deciding, end.result);
  }

  /** Resolves to `undefined`, without the grant, if it can't be used. */
  async #connect(grant: Grant): Promise<AttemptTarget | undefined> {
    const { connectionPool, grantClient } = this.#context;
    const { id: grantId, server } = grant;
    const incarnation = incarnationOf(server);
    const strict = !isRepeatable(this.#resolved.route);
    const connection = await connectionPool.acquire(server, strict);
    if (connection.isErr) {
      // Nothing reached the server, so this does not consume the retry budget.
      grantClient.recordEnd(grantId, connection.error);
      this.#eligibility.exclude(incarnation);
      this.#report.recordRetry(server, connection.error, this.#serversSentTo);
      return undefined;
    }
    const target = { grantId, server, connection: connection.value };
    if (
      this.#isCancelled || this.#suspectVerdict().kind === "quarantined" ||
      this.#eligibility.isOutdated(grant) ||
      this.#eligibility.find(incarnation) === undefined
    ) {
      this.#release(target);
      return undefined;
    }
    return target;
  }

  /** Returns an unused grant and its connection. */
  #release({ grantId, server, connection }: AttemptTarget): void {
    this.#context.grantClient.withdraw(grantId);
    this.#context.connectionPool.release(server, connection);
  }

  #suspectVerdict(): SuspectVerdict {
    return this.#context.grantClient.suspects.verdict(
      fingerprintsOf({
        fingerprint: this.#fingerprint,
        promptParts: this.#parsed.promptParts,
      }),
    );
  }

  async #runAttempt(target: AttemptTarget): Promise<DecidingRun> {
    const { clock, serverProbes } = this.#context;
    const attempt = new HedgedAttempt({
      clock,
      patience: callerPatience(this.#resolved, this.#parsed.arrivedAt),
      waited: () => clock() - this.#callerWaitsSince,
      createRun: (target, hooks) => this.#createRun(target, hooks),
      isOverlapBounded: this.#resolved.route.repeatability === "streaming",
      mayHedge: () => this.#mayUseAnotherServer(),
      consumeRetry: (server, reason) => this.#consumeRetry(server, reason),
      probe: (server, maximumAge) => serverProbes.probe(server, maximumAge),
      isAnswer: (result) => this.#isAnswer(result),
      isSendable: (result) => this.#isSendable(result),
      requestGrant: (excluded) => this.#requestHedge(excluded),
      connect: (grant) => this.#connect(grant),
      release: (target) => this.#release(target),
      recordRunEnd: (target, end) => this.#recordRunEnd(target, end),
      recordHedge: (server, state) => this.#report.recordHedge(server, state),
    });
    this.#cancelStep = () => attempt.cancel(this.#cancellation());
    const deciding = await attempt.run(target);
    this.#cancelStep = undefined;
    return deciding;
  }

  /** When the caller last received something, or sent its request. */
  get #callerWaitsSince(): number {
    return this.#progress.lastEventsAt ?? this.#parsed.arrivedAt;
  }

  #createRun(target: AttemptTarget, hooks: AttemptHooks): ServerAttempt {
    this.#serversSentTo++;
    this.#mayHaveRun = true;
    return new ServerAttempt(
      {
        context: this.#context,
        parsed: this.#parsed,
        resolved: this.#resolved,
        caller: this.#caller,
        body: this.#body,
        progress: this.#progress,
      },
      target,
      hooks,
    );
  }

  /**
   * Requests a grant beside a run. The quota is charged once for a request, and
   * a refusal leaves the run as it is.
   */
  #requestHedge(excluded: readonly string[]): ReturnType<
    PlacementSteps["requestGrant"]
  > {
    const requestedAt = this.#context.clock();
    const { id, result } = this.#submit({
      charge: 0,
      expiresAt: this.#resolved.deadline - MIN_REMAINING_TIME,
      excludedServers: [...this.#eligibility.excluded, ...excluded],
    });
    const grant = this.#serversSentTo + 1;
    let withdraw = () => {};
    const withdrawn = new Promise<undefined>((resolve) => {
      withdraw = () => {
        this.#context.grantClient.withdraw(id);
        resolve(undefined);
      };
    });
    const granted = result.then((grantResult) =>
      grantResult.kind === "grant"
        ? this.#acceptGrant(id, grantResult, { requestedAt, grant })
        : undefined
    );
    return { withdraw, result: Promise.race([granted, withdrawn]) };
  }

  /** Whether a result answers the request if no other run is open. */
  #isAnswer(result: ExchangeResult): boolean {
    if (result.kind === "stream") return true;
    return this.#isSendable(result) && result.head.status < FIRST_SERVER_ERROR;
  }

  /** Whether a result is a response that can be passed on. */
  #isSendable(
    result: ExchangeResult,
  ): result is Extract<ExchangeResult, { kind: "plain" }> {
    return result.kind === "plain" && !this.#caller.responseStarted;
  }

  get #isCancelled(): boolean {
    return this.#caller.disconnected || this.#timedOut || this.#stopping;
  }

  /** Why the running step is cancelled. */
  #cancellation(): RunClosure {
    const now = this.#context.clock();
    if (this.#disconnectedAt !== undefined) {
      return {
        cause: "caller_left",
        evidence: "disconnect",
        evidenceAge: now - this.#disconnectedAt,
      };
    }
    if (this.#stopping) {
      return { cause: "stopping", evidence: "end of the stop", evidenceAge: 0 };
    }
    return {
      cause: "deadline",
      evidence: "time is up",
      evidenceAge: now - this.#resolved.deadline,
    };
  }

  /** Records the end of a run, whether or not the request depends on it. */
  #recordRunEnd(
    { grantId, server, connection }: AttemptTarget,
    { result, runOutcome, time, closure, endEvidence }: AttemptResult,
  ): void {
    const { grantClient, connectionPool } = this.#context;
    grantClient.recordEnd(grantId, runOutcome, this.#streamTiming());
    if (endEvidence !== undefined) {
      const { eventCount } = this.#progress;
      this.#report
        .recordCloseDelimitedEnd(server, result, endEvidence, eventCount);
    }
    if (closure !== undefined) {
      const started = this.#caller.responseStarted;
      this.#report.recordClosedRun(server, closure, { time, started });
    }
    if (isInterrupted(runOutcome)) {
      const fingerprint = this.#fingerprint;
      const detail = result.kind === "broken" && closure === undefined
        ? result.detail
        : undefined;
      const run = { outcome: runOutcome, fingerprint, time, detail };
      this.#report.recordInterruption(server, run);
    }
    switch (result.kind) {
      case "stream":
      case "plain":
        connectionPool.release(server, connection);
        return;
      case "not_run":
        connectionPool.release(server, connection);
        this.#uncountServer();
        this.#eligibility.exclude(incarnationOf(server));
        this.#report.recordNotRun(server, result.head);
        return;
      case "broken":
        if (result.oversized) this.#report.recordOversized();
        this.#eligibility.exclude(incarnationOf(server));
        return;
      case "aborted":
    }
  }

  #streamTiming(): StreamTiming {
    const { activeConfiguration, clock } = this.#context;
    const { services } = activeConfiguration()?.configuration ?? {};
    const { route, service } = this.#resolved;
    return this.#progress.timing(this.#serversSentTo, {
      tokensPerEvent: services?.get(service)?.tokensPerEvent ?? 1,
      acceptedPause: route.pauseGoal,
    }, clock());
  }

  #handleResult({ server }: AttemptTarget, result: ExchangeResult): void {
    switch (result.kind) {
      case "stream":
        this.#response.endStream(server, this.#progress);
        return;
      case "plain":
        this.#handlePlainResponse(server, result);
        return;
      case "not_run":
        this.#retryOrRefuse(server, "not_run");
        return;
      case "broken":
        this.#handleBrokenResponse(server, result.detail);
        return;
      case "aborted":
    }
  }

  /** Takes the last server off the count, as it stated that it ran nothing. */
  #uncountServer(): void {
    this.#serversSentTo--;
    this.#mayHaveRun = this.#serversSentTo > 0;
  }

  #handlePlainResponse(
    server: ServerRecord,
    result: Extract<ExchangeResult, { kind: "plain" }>,
  ): void {
    if (this.#caller.disconnected) return;
    const failed = result.head.status >= FIRST_SERVER_ERROR;
    if (
      failed && !this.#isCancelled && this.#mayUseAnotherServer() &&
      this.#consumeRetry(server, "failed")
    ) {
      this.#eligibility.exclude(incarnationOf(server));
      return;
    }
    if (this.#isFalsePromise(result.head.status)) this.#giveUp("broken");
    else this.#response.sendPlain(server, result, this.#progress);
  }

  /**
   * Whether a caller would take the status of a run for the promise that the
   * request has not run, and send it again although it must run once only.
   */
  #isFalsePromise(status: number): boolean {
    return NOT_RUN_STATUSES.includes(status) &&
      !isRepeatable(this.#resolved.route);
  }

  #handleBrokenResponse(server: ServerRecord, detail: string): void {
    if (this.#mayUseAnotherServer() && this.#consumeRetry(server, "broken")) {
      return;
    }
    if (this.#caller.responseStarted) this.#response.abort(server, detail);
    else this.#giveUp("broken");
  }

  /**
   * A request that may have run may be retried only if its route allows it, and
   * only from an event on that is known to the next server.
   */
  #mayUseAnotherServer(): boolean {
    const { route } = this.#resolved;
    return isRepeatable(route) && this.#progress.isResumable &&
      this.#serversSentTo < route.maximumServers;
  }

  /** Retries after an attempt that did not run the request, or refuses it. */
  #retryOrRefuse(server: ServerRecord, reason: string): void {
    if (this.#consumeRetry(server, reason)) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** Takes a retry from the service's budget; false if it is exhausted. */
  #consumeRetry(server: ServerRecord, reason: string): boolean {
    const { consumeRetry, clock } = this.#context;
    const { service } = this.#resolved;
    if (!consumeRetry(service, clock())) return false;
    this.#report.recordRetry(server, reason, this.#serversSentTo);
    return true;
  }

  #giveUp(
    reason: ErrorReason,
    retryAfter?: number,
    decision?: GiveUpOptions["decision"],
  ): void {
    const verdict = this.#suspectVerdict();
    this.#response.giveUp({
      reason,
      ...(verdict.kind === "quarantined" &&
        { quarantined: verdict.fingerprints }),
      mayHaveRun: this.#mayHaveRun,
      remainingTime: this.#resolved.deadline - this.#context.clock(),
      retryAfter,
      decision,
    });
  }

  /** The result; `undefined` if the caller disconnects or time is up first. */
  #unlessCancelled(
    result: Promise<GrantResult>,
  ): Promise<GrantResult | undefined> {
    return new Promise((resolve) => {
      this.#cancelStep = () => resolve(undefined);
      if (this.#isCancelled) resolve(undefined);
      void result.then((grantResult) => {
        this.#cancelStep = undefined;
        resolve(grantResult);
      });
    });
  }
}

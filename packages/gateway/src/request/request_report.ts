/** Log events and metrics of one request. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type {
  RefusalInputs,
  RunOutcome,
  ServerRecord,
} from "@sycamorepulley/decisions";
import type { ResponseHead } from "../backend/backend_connection.ts";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { ResponseProgress } from "./response_progress.ts";
import type { RunClosure } from "./run_closure.ts";
import type { EndEvidence } from "./server_attempt.ts";
import type { ExchangeResult } from "./exchange.ts";
import type { ErrorReason } from "./error_response.ts";
import type { HedgeState } from "./hedged_attempt.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResolvedRequest } from "./resolve_request.ts";

/** Logs and counts each decision on a request. */
export class RequestReport {
  readonly #context: RequestContext;
  readonly #parsed: ParsedRequest;
  readonly #resolved: ResolvedRequest;

  constructor(
    context: RequestContext,
    parsed: ParsedRequest,
    resolved: ResolvedRequest,
  ) {
    this.#context = context;
    this.#parsed = parsed;
    this.#resolved = resolved;
  }

  /** `waited`: milliseconds until the grant; `attempt`: number of the grant. */
  recordGrant(
    server: ServerRecord,
    grant: {
      waited: number;
      by: string;
      attempt: number;
      /** Its fingerprints under which servers have crashed. */
      suspects: readonly string[];
    },
  ): void {
    const { metrics, log, grantClient, clock } = this.#context;
    const { service, route, organisation, charge } = this.#resolved;
    const waited = Math.round(grant.waited);
    const limit = grantClient.limits.known.find(incarnationOf(server));
    const labels = { service, route: route.name };
    metrics.grantWait.observe(labels, waited / 1000);
    log.write({
      event: "granted",
      request: this.#parsed.requestId,
      server: server.id,
      waited,
      by: grant.by,
      version: this.#version,
      attempt: grant.attempt,
      organisation,
      charge,
      ...(grant.suspects.length > 0 && { suspects: [...grant.suspects] }),
      ...(limit && {
        limit: limit.perSecond,
        limitBy: limit.by,
        limitAge: Math.round(clock() - limit.observedAt),
      }),
    });
  }

  /** `sent`: number of servers that may have run the request. */
  recordRetry(server: ServerRecord, reason: string, sent: number): void {
    const { metrics, log } = this.#context;
    metrics.retries.inc({ service: this.#resolved.service, reason });
    log.write({
      event: "retried",
      request: this.#parsed.requestId,
      server: server.id,
      reason,
      sent,
    });
  }

  /** Records a run that ended without a complete response. */
  recordInterruption(
    server: ServerRecord,
    run: {
      outcome: RunOutcome;
      fingerprint: string;
      time: number;
      /** What was wrong with the response, if one was received. */
      detail: string | undefined;
    },
  ): void {
    const { detail } = run;
    this.#context.log.write({
      event: "interrupted",
      request: this.#parsed.requestId,
      server: server.id,
      outcome: run.outcome,
      fingerprint: run.fingerprint,
      time: Math.round(run.time),
      ...(detail !== undefined && { detail }),
    });
  }

  /** Records how a response ended whose end is that of its connection. */
  recordCloseDelimitedEnd(
    server: ServerRecord,
    result: ExchangeResult,
    { end, process, hasAllTokens, silence }: EndEvidence,
    events: number,
  ): void {
    const { metrics, log } = this.#context;
    const { service } = this.#resolved;
    const isWhole = result.kind !== "broken";
    const judged = isWhole ? "whole" : "incomplete";
    metrics.closeDelimitedEnds.inc({ service, judged });
    log.write({
      event: "end_without_length",
      request: this.#parsed.requestId,
      server: server.id,
      judged,
      ...(!isWhole && { detail: result.detail }),
      connection: end?.verdict ?? "closed_here",
      ...(end && { detection: end.detection, ...end.end }),
      process: process ?? "not_asked",
      hasAllTokens,
      events,
      silence: Math.round(silence),
    });
  }

  /** Records that the gateway ended a run, and on what evidence. */
  recordClosedRun(
    server: ServerRecord,
    { cause, evidence, evidenceAge }: RunClosure,
    run: { time: number; started: boolean },
  ): void {
    const { metrics, log } = this.#context;
    metrics.runsClosed.inc({ service: this.#resolved.service, cause });
    log.write({
      event: "run_closed",
      request: this.#parsed.requestId,
      server: server.id,
      cause,
      evidence,
      evidenceAge: Math.round(evidenceAge),
      time: Math.round(run.time),
      started: run.started,
    });
  }

  /** Records that the end of this process ends a request at a server. */
  recordStopCut(): void {
    const { metrics, log, clock, drainAdmission } = this.#context;
    const { service, deadline } = this.#resolved;
    const expected = drainAdmission.expectedDuration(this.#resolved);
    metrics.requestsCutAtStop.inc({ service });
    log.write({
      event: "cut_at_stop",
      request: this.#parsed.requestId,
      arrival: Math.round(
        drainAdmission.timeSinceStop(this.#parsed.arrivedAt),
      ),
      ...(expected !== undefined && { expected: Math.round(expected) }),
      age: this.#elapsed(),
      remaining: Math.round(deadline - clock()),
    });
  }

  /** Records what became of a second run while `silent` was silent. */
  recordHedge(silent: ServerRecord, state: HedgeState): void {
    const { metrics, log } = this.#context;
    metrics.hedges.inc({ service: this.#resolved.service, state });
    log.write({
      event: "hedge",
      request: this.#parsed.requestId,
      silent: silent.id,
      state,
      time: this.#elapsed(),
    });
  }

  /** Records that a server sent more than is buffered of an event or a body. */
  recordOversized(): void {
    const { service } = this.#resolved;
    this.#context.metrics.oversizedResponses.inc({ service });
  }

  /** Records that a server turned the request away. */
  recordNotRun(server: ServerRecord, { status, headers }: ResponseHead): void {
    const retryAfter = headers["retry-after"];
    this.#context.log.write({
      event: "turned_away",
      request: this.#parsed.requestId,
      server: server.id,
      status,
      ...(retryAfter !== undefined && { retryAfter: String(retryAfter) }),
    });
  }

  recordRefusal(
    reason: ErrorReason,
    response: {
      status: number;
      retryAfter: number;
      mayHaveRun: boolean;
      /** Set if a granting entry refused the request. */
      decision?: { by: string; inputs: RefusalInputs };
      /** Fingerprints of the request that are quarantined together. */
      quarantined?: readonly string[];
    },
  ): void {
    const { metrics, log } = this.#context;
    const { service, organisation, tierRank, routeRank } = this.#resolved;
    const { cost, charge } = this.#resolved;
    const { decision, quarantined } = response;
    if (response.mayHaveRun) metrics.failures.inc({ service, reason });
    else metrics.refusals.inc({ service, reason });
    log.write({
      event: "refused",
      request: this.#parsed.requestId,
      status: response.status,
      reason,
      waited: this.#elapsed(),
      retryAfter: Math.round(response.retryAfter),
      version: this.#version,
      organisation,
      tierRank,
      routeRank,
      promptTokens: cost.promptTokens,
      outputTokens: cost.outputTokens,
      charge,
      ...(quarantined && { quarantined: [...quarantined] }),
      ...(decision && {
        by: decision.by,
        free: decision.inputs.free,
        waiting: decision.inputs.waiting,
        quotaWait: Math.round(decision.inputs.quotaWait),
        standing: decision.inputs.standing ?? "unqueued",
        ...forecastFields(decision.inputs, this.#context.clock()),
      }),
    });
  }

  /** Records that a response was aborted after it had started. */
  recordAbort(server: ServerRecord | undefined, reason: string): void {
    const { metrics, log } = this.#context;
    metrics.failures.inc({ service: this.#resolved.service, reason: "cut" });
    log.write({
      event: "cut",
      request: this.#parsed.requestId,
      server: server?.id ?? "",
      reason,
      time: this.#elapsed(),
    });
  }

  /** Records that the caller disconnected. */
  recordDisconnect(state: "sent" | "waiting"): void {
    const { log, metrics } = this.#context;
    metrics.failures.inc({ service: this.#resolved.service, reason: "left" });
    log.write({
      event: "left",
      request: this.#parsed.requestId,
      state,
      time: this.#elapsed(),
    });
  }

  recordResponse(
    server: ServerRecord,
    status: number,
    progress: ResponseProgress,
  ): void {
    const { clock, metrics, log } = this.#context;
    const { service, route, cost } = this.#resolved;
    const labels = { service, route: route.name };
    const now = clock();
    const timeToFirstPart = (progress.firstPartAt ?? now) -
      this.#parsed.arrivedAt;
    const time = now - this.#parsed.arrivedAt;
    metrics.responses.inc({ service, status: String(status) });
    metrics.timeToFirstByte.observe(labels, timeToFirstPart / 1000);
    metrics.timeToLastByte.observe(labels, time / 1000);
    log.write({
      event: "answered",
      request: this.#parsed.requestId,
      server: server.id,
      status,
      first: Math.round(timeToFirstPart),
      time: Math.round(time),
      promptTokens: cost.promptTokens,
      outputTokens: cost.outputTokens,
      events: progress.eventCount,
      longestPause: Math.round(progress.longestPause),
    });
  }

  get #version(): number {
    return this.#context.activeConfiguration()?.configuration.version ?? 0;
  }

  #elapsed(): number {
    return Math.round(this.#context.clock() - this.#parsed.arrivedAt);
  }
}

/** What a refusal logs of the forecast that it was based on. */
function forecastFields(
  { appointment, forecastFree, forecastAge }: RefusalInputs,
  now: number,
) {
  return {
    ...(appointment && { appointment: Math.round(appointment.at - now) }),
    ...(forecastFree !== undefined && {
      forecastFree: Math.round(forecastFree * 10) / 10,
    }),
    ...(forecastAge !== undefined && { forecastAge: Math.round(forecastAge) }),
  };
}

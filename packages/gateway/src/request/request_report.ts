/** What is logged and counted of one request. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type { RefusalInputs, ServerRecord } from "@sycamorepulley/decisions";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { ResponseProgress } from "./response_progress.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResolvedRequest } from "./resolve_request.ts";

/** One method for each decision on the request. */
export class RequestReport {
  readonly #context: RequestContext;
  readonly #call: ParsedRequest;
  readonly #resolved: ResolvedRequest;

  constructor(
    context: RequestContext,
    call: ParsedRequest,
    resolved: ResolvedRequest,
  ) {
    this.#context = context;
    this.#call = call;
    this.#resolved = resolved;
  }

  /** `waited` in milliseconds; `attempt` counts grants. */
  granted(
    server: ServerRecord,
    grant: { waited: number; by: string; attempt: number },
  ): void {
    const { metrics, log, grantClient: granter, clock } = this.#context;
    const { service, route, organisation, charge } = this.#resolved;
    const waited = Math.round(grant.waited);
    const limit = granter.limits.known.find(incarnationOf(server));
    const labels = { service, route: route.name };
    metrics.grantWait.observe(labels, waited / 1000);
    log.write({
      event: "granted",
      request: this.#call.requestId,
      server: server.id,
      waited,
      by: grant.by,
      version: this.#version,
      attempt: grant.attempt,
      organisation,
      charge,
      ...(limit && {
        limit: limit.perSecond,
        limitBy: limit.by,
        limitAge: Math.round(clock() - limit.observedAt),
      }),
    });
  }

  /** `sent`: servers that may have run it. */
  retried(server: ServerRecord, reason: string, sent: number): void {
    const { metrics, log } = this.#context;
    metrics.retries.inc({ service: this.#resolved.service, reason });
    log.write({
      event: "retried",
      request: this.#call.requestId,
      server: server.id,
      reason,
      sent,
    });
  }

  refused(
    reason: ErrorReason,
    answer: {
      status: number;
      retryAfter: number;
      mayHaveRun: boolean;
      /** Where an entry that grants refused it. */
      decided?: { by: string; seen: RefusalInputs };
    },
  ): void {
    const { metrics, log } = this.#context;
    const { service, organisation, tierRank, routeRank } = this.#resolved;
    const { cost, charge } = this.#resolved;
    const { decided } = answer;
    if (answer.mayHaveRun) metrics.failures.inc({ service, reason });
    else metrics.refusals.inc({ service, reason });
    log.write({
      event: "refused",
      request: this.#call.requestId,
      status: answer.status,
      reason,
      waited: this.#age(),
      retryAfter: Math.round(answer.retryAfter),
      version: this.#version,
      organisation,
      tierRank,
      routeRank,
      promptTokens: cost.promptTokens,
      outputTokens: cost.outputTokens,
      charge,
      ...(decided && {
        by: decided.by,
        free: decided.seen.free,
        waiting: decided.seen.waiting,
        quotaWait: Math.round(decided.seen.quotaWait),
        standing: decided.seen.standing ?? "unqueued",
      }),
    });
  }

  cut(server: ServerRecord | undefined, reason: string): void {
    const { metrics, log } = this.#context;
    metrics.failures.inc({ service: this.#resolved.service, reason: "cut" });
    log.write({
      event: "cut",
      request: this.#call.requestId,
      server: server?.id ?? "",
      reason,
      time: this.#age(),
    });
  }

  left(state: "sent" | "waiting"): void {
    const { log, metrics } = this.#context;
    metrics.failures.inc({ service: this.#resolved.service, reason: "left" });
    log.write({
      event: "left",
      request: this.#call.requestId,
      state,
      time: this.#age(),
    });
  }

  answered(
    server: ServerRecord,
    status: number,
    progress: ResponseProgress,
  ): void {
    const { clock, metrics, log } = this.#context;
    const { service, route, cost } = this.#resolved;
    const labels = { service, route: route.name };
    const now = clock();
    const first = (progress.firstPartAt ?? now) - this.#call.arrivedAt;
    const time = now - this.#call.arrivedAt;
    metrics.responses.inc({ service, status: String(status) });
    metrics.timeToFirstByte.observe(labels, first / 1000);
    metrics.timeToLastByte.observe(labels, time / 1000);
    log.write({
      event: "answered",
      request: this.#call.requestId,
      server: server.id,
      status,
      first: Math.round(first),
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

  #age(): number {
    return Math.round(this.#context.clock() - this.#call.arrivedAt);
  }
}

/**
 * The task that runs one caller's request from admission to the final response.
 * @module
 */
import { fingerprintsOf, RequestLifecycle } from "@sycamorepulley/decisions";
import { monotonicNow } from "../common/clock.ts";
import type { ResponseSink } from "./response_sink.ts";
import { Mailbox } from "./mailbox.ts";
import { PlacementTask } from "./placement_task.ts";
import type { PlacementOutcome } from "./placement_outcome.ts";
import { retryableRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import { ResponseRelay } from "./response_relay.ts";
import type { ResponseOutcome } from "./response_relay.ts";
import type { RequestEvent } from "./request_event.ts";
import type { VersionChoice } from "../moves/service_move.ts";
import type { RequestContext, RequestOutcome } from "./request_context.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/**
 * Maximum time, in milliseconds, that a non-idempotent call is followed after
 * its caller's response was given up. Its sidecar limits its run to the same
 * time.
 */
export const MAX_RUN_DURATION = 15 * 60 * 1000;

/**
 * Expected time to the first byte, in milliseconds: a base and an addition for
 * each prompt token. Only ratios between two versions are judged, so the scale
 * does not matter.
 */
const EXPECTED_FIRST_BYTE_BASE = 100;
const EXPECTED_FIRST_BYTE_PER_PROMPT_TOKEN = 0.5;

/** Runs one request; its events arrive in a mailbox. */
export class RequestTask {
  readonly #requestNumber: number;
  readonly #request: ResolvedRequest;
  #sink!: ResponseSink;
  readonly #context: RequestContext;
  readonly #lifecycle = new RequestLifecycle();
  readonly #mailbox = new Mailbox<RequestEvent>();
  #versionChoice: VersionChoice | { version: string | undefined } = {
    version: undefined,
  };
  #handedOverAt: number | undefined;
  #firstByteAt: number | undefined;

  constructor(
    options: {
      requestNumber: number;
      request: ResolvedRequest;
      context: RequestContext;
    },
  ) {
    this.#requestNumber = options.requestNumber;
    this.#request = options.request;
    this.#context = options.context;
  }

  /** Reports that the caller closed its connection. */
  onCallerDisconnected(): void {
    this.#mailbox.put({ kind: "callerDisconnected" });
  }

  /**
   * Admits, places and answers the request. When this resolves, the sink has
   * received the final response.
   */
  async run(sink: ResponseSink): Promise<RequestOutcome> {
    this.#sink = sink;
    const { versionChooser } = this.#context;
    this.#versionChoice = versionChooser.chooseVersion(
      this.#request.service.name,
    );
    const outcome = await this.#serve();
    this.#reportToMove(outcome);
    return outcome;
  }

  async #serve(): Promise<RequestOutcome> {
    const earlyRefusal = this.#earlyRefusal();
    if (earlyRefusal) return this.#refuse(earlyRefusal);
    const admission = this.#admit();
    if (admission.isErr) return this.#refuse(admission.error);
    const placement = await this.#place();
    admission.value();
    if (placement.kind === "refused") return this.#refuse(placement.refusal);
    if (placement.kind === "callerDisconnected") {
      this.#lifecycle.apply("abandon");
      return { kind: "callerDisconnected", ran: "no" };
    }
    this.#lifecycle.apply("handOver");
    this.#handedOverAt = monotonicNow();
    return await this.#relayResponse(placement.session);
  }

  /** Refuses a quarantined request or a shed tier without letting it wait. */
  #earlyRefusal(): Refusal | undefined {
    const { service, tier } = this.#request;
    const { serviceState } = this.#context;
    const now = monotonicNow();
    const state = serviceState(service.name);
    const verdict = state.suspects
      .verdictOf(fingerprintsOf(this.#request), now);
    if (verdict.kind === "quarantined") {
      return retryableRefusal(
        "quarantined",
        "backend servers died while they ran this request",
        verdict.retryAfter,
      );
    }
    const shedding = state.servers.shedsTier(
      tier.rank,
      now,
      this.#versionChoice.version,
    );
    if (!shedding.sheds) return undefined;
    return retryableRefusal(
      "tier_shed",
      `every backend server of ${service.name} is full and sheds tier ` +
        tier.name,
      shedding.retryAfter,
    );
  }

  /** Counts the request as waiting until the returned function is called. */
  #admit() {
    const { service, tier, body } = this.#request;
    const { waitingLimiter } = this.#context;
    return waitingLimiter.admit({
      service: service.name,
      bytes: body.byteLength,
      tierRank: tier.rank,
      onEvicted: () => this.#mailbox.put({ kind: "evicted" }),
    }).mapErr((error) =>
      retryableRefusal(
        error.reason === "too_many_waiting"
          ? "service_waiting_full"
          : "service_memory_full",
        `${service.name} has as many requests waiting here as it may`,
      )
    );
  }

  async #place(): Promise<PlacementOutcome> {
    const choice = this.#versionChoice;
    const outcome = await this.#placeOnVersion(choice.version);
    const fallback = "fallback" in choice ? choice.fallback : undefined;
    if (outcome.kind !== "refused" || fallback === undefined) return outcome;
    if (monotonicNow() >= this.#request.deadline) return outcome;
    // The new version's servers are full, stopped or not started yet. This must
    // not fail the caller's request, so the previous version serves it.
    this.#context.versionChooser.recordNotRun(choice as VersionChoice);
    this.#versionChoice = { version: fallback };
    return await this.#placeOnVersion(fallback);
  }

  #placeOnVersion(version: string | undefined): Promise<PlacementOutcome> {
    const { serviceState, sessionPool, metrics, random } = this.#context;
    return new PlacementTask({
      requestNumber: this.#requestNumber,
      request: this.#request,
      version,
      serviceState: serviceState(this.#request.service.name),
      sessionPool,
      mailbox: this.#mailbox,
      metrics,
      random,
    }).run();
  }

  async #relayResponse(session: SidecarSession): Promise<RequestOutcome> {
    const relay = new ResponseRelay({
      mailbox: this.#mailbox,
      sidecar: session.name,
      sink: this.#sink,
      onFirstByte: (now) => this.#recordFirstByte(now),
    });
    const outcome = await relay.run(this.#request.deadline);
    if (this.#continuesWithoutCaller(outcome)) {
      return await this.#awaitCompletion(session, relay, outcome);
    }
    if (outcome.kind === "complete") session.forget(this.#requestNumber);
    else this.#cancelOrForget(session, outcome);
    return this.#finish(session, outcome);
  }

  /** True for a non-idempotent call that still runs without its caller. */
  #continuesWithoutCaller(outcome: ResponseOutcome): boolean {
    if (this.#request.idempotent) return false;
    return outcome.kind === "callerDisconnected" || stillRunsAtServer(outcome);
  }

  /**
   * Ends the caller's response at once, but follows the call to its end, so
   * that a retry gets the outcome and not "unknown".
   */
  async #awaitCompletion(
    session: SidecarSession,
    relay: ResponseRelay,
    outcome: ResponseOutcome,
  ): Promise<RequestOutcome> {
    if (outcome.kind === "failed") this.#failResponse(outcome);
    const until = monotonicNow() + MAX_RUN_DURATION;
    let latest = outcome;
    while (monotonicNow() < until && latest.kind !== "complete") {
      latest = await relay.run(until);
      if (latest.kind === "failed") break;
    }
    session.forget(this.#requestNumber);
    return this.#finish(session, latest);
  }

  #recordFirstByte(now: number): void {
    this.#lifecycle.apply("begin");
    this.#firstByteAt = now;
    const { service, tier, arrived } = this.#request;
    this.#context.metrics.firstByte.observe(
      { service: service.name, tier: tier.name },
      (now - arrived) / 1000,
    );
  }

  /**
   * Cancels the request if it still runs at the backend server, which frees the
   * slot for others.
   */
  #cancelOrForget(session: SidecarSession, outcome: ResponseOutcome): void {
    const ended = outcome.kind === "failed" && !stillRunsAtServer(outcome);
    if (ended) session.forget(this.#requestNumber);
    else session.cancel(this.#requestNumber);
  }

  #finish(session: SidecarSession, outcome: ResponseOutcome): RequestOutcome {
    const now = monotonicNow();
    const { service, fingerprint } = this.#request;
    const { ejection, suspects } = this.#context.serviceState(service.name);
    if (outcome.kind === "complete") {
      for (const each of fingerprintsOf(this.#request)) {
        suspects.recordCompleteRun(each, now);
      }
    } else suspects.cancelRun(fingerprint);
    if (outcome.kind === "callerDisconnected") {
      this.#lifecycle.apply("abandon");
      return { kind: "callerDisconnected", ran: "unknown" };
    }
    if (outcome.kind === "complete") {
      this.#lifecycle.apply("begin");
      this.#lifecycle.apply("finish");
      if (outcome.status < 500) ejection.recordSuccess(session.name, now);
      else ejection.recordFailure(session.name, "error", now);
      this.#context.onResponseComplete(this.#request, outcome.bytes, now);
      this.#sink.end();
      return { kind: "answered", status: outcome.status };
    }
    this.#lifecycle.apply("fail");
    const { refusal, responseStarted } = outcome;
    if (refusal.reason !== "caller_too_slow") {
      ejection.recordFailure(
        session.name,
        refusal.reason === "deadline" ? "timeout" : "error",
        now,
      );
    }
    this.#failResponse(outcome);
    return { kind: "refused", refusal, responseStarted };
  }

  #failResponse(
    { responseStarted, refusal }: {
      responseStarted: boolean;
      refusal: Refusal;
    },
  ): void {
    if (responseStarted) this.#sink.abort(refusal);
    else this.#sink.refuse(refusal);
  }

  /** Reports to the service's move, if any, how its version performed. */
  #reportToMove(outcome: RequestOutcome): void {
    const choice = this.#versionChoice;
    if (!("move" in choice)) return;
    const { versionChooser } = this.#context;
    const countsAsEvidence = outcome.kind === "answered" ||
      (outcome.kind === "refused" && outcome.refusal.ran !== "no" &&
        outcome.refusal.reason !== "caller_too_slow");
    if (!countsAsEvidence) return versionChooser.recordNotRun(choice);
    versionChooser.recordCall(choice, {
      route: this.#request.route,
      failed: outcome.kind !== "answered" || outcome.status >= 500,
      slowness: this.#slowness(),
    });
  }

  /** Time to the first byte, divided by that expected for the prompt's size. */
  #slowness(): number | undefined {
    if (!this.#firstByteAt || !this.#handedOverAt) return undefined;
    const { promptTokens } = this.#request.cost;
    const expected = EXPECTED_FIRST_BYTE_BASE +
      EXPECTED_FIRST_BYTE_PER_PROMPT_TOKEN * promptTokens;
    return (this.#firstByteAt - this.#handedOverAt) / expected;
  }

  #refuse(refusal: Refusal): RequestOutcome {
    this.#lifecycle.apply("refuse");
    this.#sink.refuse(refusal);
    return { kind: "refused", refusal, responseStarted: false };
  }
}

/** Whether the entry gave up on a request that the server still runs. */
function stillRunsAtServer(outcome: ResponseOutcome): boolean {
  return outcome.kind === "failed" &&
    ["deadline", "caller_too_slow"].includes(outcome.refusal.reason);
}

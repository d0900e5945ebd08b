/**
 * One caller's request from admission to its final answer, as one task.
 * @module
 */
import { RequestLifecycle } from "@sycamorepulley/decisions";
import { monotonicNow } from "../common/clock.ts";
import type { AnswerSink } from "./answer_sink.ts";
import { Mailbox } from "./mailbox.ts";
import { PlacementTask } from "./placement_task.ts";
import type { PlacementOutcome } from "./placement_outcome.ts";
import { notRun } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import { AnswerRelay } from "./relay_answer.ts";
import type { AnswerOutcome } from "./relay_answer.ts";
import type { RequestEvent } from "./request_event.ts";
import type { VersionChoice } from "../moves/service_move.ts";
import type {
  RequestOutcome,
  RequestSurroundings,
} from "./request_surroundings.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/**
 * Longest that a call which may not be repeated is heard after its caller was
 * given up, in milliseconds; its sidecar ends it at the same age.
 */
export const LONGEST_RUN = 15 * 60 * 1000;

/**
 * Milliseconds to a first byte, and for each prompt token. Only ratios between
 * two versions are judged, so that the scale does not matter.
 */
const EXPECTED_BASE = 100;
const EXPECTED_PER_PROMPT_TOKEN = 0.5;

/** A request's number, lifecycle and events. */
export class RequestTask {
  readonly #number: number;
  readonly #request: ResolvedRequest;
  #sink!: AnswerSink;
  readonly #surroundings: RequestSurroundings;
  readonly #lifecycle = new RequestLifecycle();
  readonly #mailbox = new Mailbox<RequestEvent>();
  #choice: VersionChoice | { version: string | undefined } = {
    version: undefined,
  };
  #handedOverAt: number | undefined;
  #firstByteAt: number | undefined;

  constructor(
    options: {
      number: number;
      request: ResolvedRequest;
      surroundings: RequestSurroundings;
    },
  ) {
    this.#number = options.number;
    this.#request = options.request;
    this.#surroundings = options.surroundings;
  }

  /** The caller closed its connection. */
  callerLeft(): void {
    this.#mailbox.put({ kind: "callerLeft" });
  }

  /** Waits, dispatches and answers; the sink has its final answer after. */
  async run(sink: AnswerSink): Promise<RequestOutcome> {
    this.#sink = sink;
    const { moves } = this.#surroundings;
    this.#choice = moves.chooseVersion(this.#request.service.name);
    const outcome = await this.#serve();
    this.#reportToMove(outcome);
    return outcome;
  }

  async #serve(): Promise<RequestOutcome> {
    const early = this.#earlyRefusal();
    if (early) return this.#refuse(early);
    const admitted = this.#admit();
    if (admitted.isErr) return this.#refuse(admitted.error);
    const placement = await this.#place();
    admitted.value();
    if (placement.kind === "refused") return this.#refuse(placement.refusal);
    if (placement.kind === "callerLeft") {
      this.#lifecycle.apply("abandon");
      return { kind: "callerLeft", ran: "no" };
    }
    this.#lifecycle.apply("handOver");
    this.#handedOverAt = monotonicNow();
    return await this.#answer(placement.session);
  }

  /** Refuses what is known to be shed or quarantined before it waits. */
  #earlyRefusal(): Refusal | undefined {
    const { service, tier, fingerprint } = this.#request;
    const { desk } = this.#surroundings;
    const now = monotonicNow();
    const own = desk(service.name);
    const verdict = own.suspects.verdict(fingerprint, now);
    if (verdict.kind === "quarantined") {
      return notRun(
        "quarantined",
        "backend servers died while they ran this request",
        verdict.retryAfter,
      );
    }
    const shedding = own.servers.shedsTier(
      tier.rank,
      now,
      this.#choice.version,
    );
    if (!shedding.sheds) return undefined;
    return notRun(
      "tier_shed",
      `every backend server of ${service.name} is full and sheds tier ` +
        tier.name,
      shedding.retryAfter,
    );
  }

  #admit() {
    const { service, tier, body } = this.#request;
    const { allowance } = this.#surroundings;
    return allowance.admit({
      service: service.name,
      bytes: body.byteLength,
      tierRank: tier.rank,
      onEvicted: () => this.#mailbox.put({ kind: "evicted" }),
    }).mapErr((error) =>
      notRun(
        error.reason === "too_many_waiting"
          ? "service_waiting_full"
          : "service_memory_full",
        `${service.name} has as many requests waiting here as it may`,
      )
    );
  }

  async #place(): Promise<PlacementOutcome> {
    const choice = this.#choice;
    const outcome = await this.#placeOn(choice.version);
    const fallback = "fallback" in choice ? choice.fallback : undefined;
    if (outcome.kind !== "refused" || fallback === undefined) return outcome;
    if (monotonicNow() >= this.#request.deadline) return outcome;
    // The new version's servers are full, stopped or not there yet; the caller
    // must not be the one to find that out.
    this.#surroundings.moves.recordNotRun(choice as VersionChoice);
    this.#choice = { version: fallback };
    return await this.#placeOn(fallback);
  }

  #placeOn(version: string | undefined): Promise<PlacementOutcome> {
    const { desk, sessions, metrics, random } = this.#surroundings;
    return new PlacementTask({
      number: this.#number,
      request: this.#request,
      version,
      desk: desk(this.#request.service.name),
      sessions,
      mailbox: this.#mailbox,
      metrics,
      random,
    }).run();
  }

  async #answer(session: SidecarSession): Promise<RequestOutcome> {
    const relay = new AnswerRelay({
      mailbox: this.#mailbox,
      sidecar: session.name,
      sink: this.#sink,
      onFirstByte: (now) => this.#firstByte(now),
    });
    const outcome = await relay.run(this.#request.deadline);
    if (this.#runsOn(outcome)) {
      return await this.#runOn(session, relay, outcome);
    }
    if (outcome.kind === "whole") session.forget(this.#number);
    else this.#stop(session, outcome);
    return this.#finish(session, outcome);
  }

  /** A call that can't be repeated is heard to its end, caller or not. */
  #runsOn(outcome: AnswerOutcome): boolean {
    if (this.#request.idempotent) return false;
    return outcome.kind === "callerLeft" || givenUp(outcome);
  }

  /**
   * The caller gets its final answer at once; what becomes of the call is
   * still heard, so that a resend learns the outcome and not "unknown".
   */
  async #runOn(
    session: SidecarSession,
    relay: AnswerRelay,
    outcome: AnswerOutcome,
  ): Promise<RequestOutcome> {
    if (outcome.kind === "failed") this.#giveUp(outcome);
    const limit = monotonicNow() + LONGEST_RUN;
    let later = outcome;
    while (monotonicNow() < limit && later.kind !== "whole") {
      later = await relay.run(limit);
      if (later.kind === "failed") break;
    }
    session.forget(this.#number);
    return this.#finish(session, later);
  }

  #firstByte(now: number): void {
    this.#lifecycle.apply("begin");
    this.#firstByteAt = now;
    const { service, tier, arrived } = this.#request;
    this.#surroundings.metrics.firstByte.observe(
      { service: service.name, tier: tier.name },
      (now - arrived) / 1000,
    );
  }

  /** Stops what its caller gave up, for the sake of others. */
  #stop(session: SidecarSession, outcome: AnswerOutcome): void {
    const over = outcome.kind === "failed" && !givenUp(outcome);
    if (over) session.forget(this.#number);
    else session.cancel(this.#number);
  }

  #finish(session: SidecarSession, outcome: AnswerOutcome): RequestOutcome {
    const now = monotonicNow();
    const { service, fingerprint } = this.#request;
    const { ejection, suspects } = this.#surroundings.desk(service.name);
    if (outcome.kind === "whole") suspects.recordCleanRun(fingerprint, now);
    else suspects.cancelRun(fingerprint);
    if (outcome.kind === "callerLeft") {
      this.#lifecycle.apply("abandon");
      return { kind: "callerLeft", ran: "unknown" };
    }
    if (outcome.kind === "whole") {
      this.#lifecycle.apply("begin");
      this.#lifecycle.apply("finish");
      if (outcome.status < 500) ejection.recordSuccess(session.name, now);
      else ejection.recordFailure(session.name, "error", now);
      this.#surroundings.onAnswered(this.#request, outcome.bytes, now);
      this.#sink.end();
      return { kind: "answered", status: outcome.status };
    }
    this.#lifecycle.apply("fail");
    const { refusal, begun } = outcome;
    if (refusal.reason !== "caller_too_slow") {
      ejection.recordFailure(
        session.name,
        refusal.reason === "deadline" ? "timeout" : "error",
        now,
      );
    }
    this.#giveUp(outcome);
    return { kind: "refused", refusal, begun };
  }

  #giveUp({ begun, refusal }: { begun: boolean; refusal: Refusal }): void {
    if (begun) this.#sink.cut(refusal);
    else this.#sink.refuse(refusal);
  }

  /** Tells the move, if one runs, how its version served the request. */
  #reportToMove(outcome: RequestOutcome): void {
    const choice = this.#choice;
    if (!("move" in choice)) return;
    const { moves } = this.#surroundings;
    const judged = outcome.kind === "answered" ||
      (outcome.kind === "refused" && outcome.refusal.ran !== "no" &&
        outcome.refusal.reason !== "caller_too_slow");
    if (!judged) return moves.recordNotRun(choice);
    moves.recordCall(choice, {
      route: this.#request.route,
      failed: outcome.kind !== "answered" || outcome.status >= 500,
      slowness: this.#slowness(),
    });
  }

  /** Time to the first byte over what the prompt's size lets expect. */
  #slowness(): number | undefined {
    if (!this.#firstByteAt || !this.#handedOverAt) return undefined;
    const { promptTokens } = this.#request.cost;
    const expected = EXPECTED_BASE + EXPECTED_PER_PROMPT_TOKEN * promptTokens;
    return (this.#firstByteAt - this.#handedOverAt) / expected;
  }

  #refuse(refusal: Refusal): RequestOutcome {
    this.#lifecycle.apply("refuse");
    this.#sink.refuse(refusal);
    return { kind: "refused", refusal, begun: false };
  }
}

/** The answer was given up here; the backend server still works on it. */
function givenUp(outcome: AnswerOutcome): boolean {
  return outcome.kind === "failed" &&
    ["deadline", "caller_too_slow"].includes(outcome.refusal.reason);
}

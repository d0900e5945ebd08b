/**
 * Finds a backend server for one waiting request: places reservations at
 * several sidecars, hands the request over to the first one that grants it a
 * slot, and withdraws the other reservations.
 * @module
 */
import { fingerprintsOf, ReservationPlan } from "@sycamorepulley/decisions";
import type { HandOverMessage, ReserveMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { Metrics } from "../common/metrics.ts";
import type { Mailbox } from "./mailbox.ts";
import type { PlacementOutcome } from "./placement_outcome.ts";
import { retryableRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestEvent } from "./request_event.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import type { ServiceState } from "./service_state.ts";
import type { SessionPool } from "./session_pool.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/**
 * Milliseconds after which a request that lacks retry budget or candidates
 * checks for them again.
 */
const RECHECK_INTERVAL = 100;

/** Options of {@link PlacementTask}. */
export type PlacementTaskOptions = {
  /** Unique among this process's requests; its reservations carry it. */
  requestNumber: number;
  request: ResolvedRequest;
  /** Version of the backend servers to choose from; any if absent. */
  version?: string | undefined;
  serviceState: ServiceState;
  sessionPool: SessionPool;
  mailbox: Mailbox<RequestEvent>;
  metrics: Metrics;
  random: () => number;
};

/** Milliseconds until a suspect that waits for another one looks again. */
const SUSPECT_INTERVAL = 20;

/** Manages one request's reservations until it is handed over or refused. */
export class PlacementTask {
  readonly #options: PlacementTaskOptions;
  readonly #plan: ReservationPlan;
  readonly #reservations = new Map<string, SidecarSession>();
  readonly #excluded = new Set<string>();
  /** Refused reservations and those of lost links, not replaced yet. */
  #lostReservations = 0;
  #refusal: Refusal | undefined;
  /** It may have crashed a server; decided again before each reservation. */
  #suspect = false;

  constructor(options: PlacementTaskOptions) {
    this.#options = options;
    const { prefixKey, arrived } = options.request;
    this.#plan = new ReservationPlan({
      prefixKey,
      arrived,
    });
  }

  async run(): Promise<PlacementOutcome> {
    const outcome = await this.#place();
    this.#withdrawAll();
    return outcome;
  }

  async #place(): Promise<PlacementOutcome> {
    const { request, mailbox } = this.#options;
    for (;;) {
      const now = monotonicNow();
      if (now >= request.deadline) return this.#deadlineOutcome();
      if (this.#reservations.size === 0) this.#suspect = this.#isSuspect(now);
      const mayStart = this.#mayStart(now);
      const progress = mayStart ? this.#placeReservations(now) : "pending";
      if (progress === "exhausted") {
        return { kind: "refused", refusal: this.#finalRefusal() };
      }
      const wait = mayStart ? this.#nextWakeTime(now) - now : SUSPECT_INTERVAL;
      const event = await mailbox.take(wait);
      if (!event) continue;
      const outcome = this.#handleEvent(event);
      if (outcome) return outcome;
    }
  }

  #isSuspect(now: number): boolean {
    const { request, serviceState } = this.#options;
    const verdict = serviceState.suspects
      .verdictOf(fingerprintsOf(request), now);
    return verdict.kind === "suspect";
  }

  /** False while another suspect of the service runs, unless it has a place. */
  #mayStart(now: number): boolean {
    if (!this.#suspect || this.#reservations.size > 0) return true;
    return this.#options.serviceState.suspects.mayStartRun(now);
  }

  #handleEvent(event: RequestEvent): PlacementOutcome | undefined {
    const { request } = this.#options;
    switch (event.kind) {
      case "callerDisconnected":
        return { kind: "callerDisconnected" };
      case "evicted":
        return { kind: "refused", refusal: evictedRefusal(request) };
      case "grant":
        return this.#handOver(event.sidecar, event.grant);
      case "refuse":
        return this.#handleRefusal(event);
      case "linkLost":
        return this.#recordLostReservation(event.sidecar, "link_lost");
      default:
        return undefined;
    }
  }

  #handOver(sidecar: string, grant: number): PlacementOutcome | undefined {
    const session = this.#reservations.get(sidecar);
    if (this.#options.serviceState.servers.isEvacuated(sidecar)) {
      session?.withdraw(this.#options.requestNumber);
      return this.#recordLostReservation(sidecar, "evacuated");
    }
    if (this.#suspect && !this.#tryStartSuspectRun(sidecar)) return undefined;
    // If the link was lost, nothing was sent: the request may go elsewhere.
    if (!session?.handOver(this.#handOverMessage(grant))) {
      return this.#recordLostReservation(sidecar, "link_lost");
    }
    this.#reservations.delete(sidecar);
    const { serviceState } = this.#options;
    const now = monotonicNow();
    serviceState.retryBudget.recordSuccess(now);
    serviceState.ejection.recordStart(sidecar, now);
    return { kind: "handedOver", session };
  }

  /**
   * Only one suspect of a service runs at a time, so that a second crash takes
   * down one server only and identifies the request that caused it.
   */
  #tryStartSuspectRun(sidecar: string): boolean {
    const { serviceState, request, requestNumber } = this.#options;
    const { fingerprint } = request;
    if (
      serviceState.suspects.tryStartRun(fingerprint, sidecar, monotonicNow())
    ) {
      return true;
    }
    this.#reservations.get(sidecar)?.withdraw(requestNumber);
    this.#reservations.delete(sidecar);
    this.#plan.markLost();
    return false;
  }

  #handleRefusal(event: RequestEvent & { kind: "refuse" }): undefined {
    const { sidecar, reason, retryAfter } = event;
    const { serviceState, request } = this.#options;
    if (reason === "leaving") serviceState.servers.markDraining(sidecar);
    const detail = `no backend server of ${request.service.name} takes a ` +
      `request of tier ${request.tier.name} now`;
    this.#refusal = earliestRetry(
      this.#refusal,
      retryableRefusal(reason, detail, retryAfter),
    );
    return this.#recordLostReservation(sidecar, reason);
  }

  #recordLostReservation(sidecar: string, reason: string): undefined {
    if (!this.#reservations.delete(sidecar)) return;
    this.#excluded.add(sidecar);
    this.#lostReservations += 1;
    const { metrics, request } = this.#options;
    metrics.retries.inc({ service: request.service.name, reason });
  }

  #placeReservations(now: number): "pending" | "exhausted" {
    this.#replaceLostReservations(now);
    // A sidecar that holds a suspect's reservation drains its backend server to
    // run it alone, so a suspect has one reservation at a time.
    if (this.#suspect && this.#reservations.size > 0) return "pending";
    const planned = this.#plan.next(now);
    if (this.#suspect) {
      this.#plan.markLost(Math.max(0, planned.count - 1));
      planned.count = Math.min(planned.count, 1);
    }
    if (planned.count > 0) {
      const names = this.#chooseServers(planned, now);
      for (const name of names) this.#reserve(name, now);
      this.#plan.markLost(planned.count - names.length);
    }
    if (this.#reservations.size > 0 || this.#lostReservations > 0) {
      return "pending";
    }
    return this.#plan.nextAt === undefined || this.#hasNoCandidates(now)
      ? "exhausted"
      : "pending";
  }

  /** Replaces lost reservations as far as the service's retry budget allows. */
  #replaceLostReservations(now: number): void {
    const { serviceState } = this.#options;
    while (
      this.#lostReservations > 0 && serviceState.retryBudget.tryTake(now)
    ) {
      this.#lostReservations -= 1;
      this.#plan.markLost();
    }
    // The lost ones are given up only if no other reservation is left and no
    // server can be chosen in their place.
    if (this.#reservations.size > 0) return;
    if (this.#hasNoCandidates(now)) this.#lostReservations = 0;
  }

  #hasNoCandidates(now: number): boolean {
    return this.#chooseServers({ count: 1, reach: "everywhere" }, now)
      .length === 0;
  }

  #chooseServers(
    planned: { count: number; reach: "dataCentre" | "region" | "everywhere" },
    now: number,
  ): string[] {
    const { serviceState, request, random, version } = this.#options;
    return serviceState.servers.choose({
      count: planned.count,
      reach: planned.reach,
      exclude: new Set([...this.#excluded, ...this.#reservations.keys()]),
      prefixKey: request.prefixKey,
      version,
      tierRank: request.tier.rank,
      now,
      random,
    });
  }

  #reserve(name: string, now: number): void {
    const { sessionPool, mailbox, metrics, request } = this.#options;
    const session = sessionPool.session(name);
    if (!session) {
      this.#excluded.add(name);
      this.#plan.markLost();
      return;
    }
    this.#reservations.set(name, session);
    metrics.reservations.inc({ service: request.service.name });
    session.reserve(this.#reserveMessage(now), mailbox);
  }

  #reserveMessage(now: number): ReserveMessage {
    const { requestNumber, request } = this.#options;
    return {
      type: "reserve",
      reservation: requestNumber,
      service: request.service.name,
      tierRank: request.tier.rank,
      organisation: request.organisation,
      route: request.route,
      cost: request.cost,
      remaining: request.deadline - now,
      fingerprint: request.fingerprint,
      promptParts: [...request.promptParts],
      ...(request.firstTokenBy === undefined
        ? {}
        : { firstTokenRemaining: request.firstTokenBy - now }),
      ...(request.prefixKey ? { prefixKey: request.prefixKey } : {}),
      ...(this.#suspect ? { suspect: true } : {}),
    };
  }

  #handOverMessage(grant: number): HandOverMessage {
    const { requestNumber, request } = this.#options;
    return {
      type: "handOver",
      reservation: requestNumber,
      grant,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      remaining: request.deadline - monotonicNow(),
      ...(request.idempotent ? {} : { runToCompletion: true }),
    };
  }

  #nextWakeTime(now: number): number {
    const { deadline } = this.#options.request;
    const nextWave = this.#plan.nextAt ?? deadline;
    const recheck = this.#lostReservations > 0 || this.#reservations.size === 0
      ? now + RECHECK_INTERVAL
      : deadline;
    return Math.min(nextWave, recheck, deadline);
  }

  #deadlineOutcome(): PlacementOutcome {
    const detail = "the deadline passed before a backend server had room";
    const { retryAfter } = this.#finalRefusal();
    return {
      kind: "refused",
      refusal: retryableRefusal("deadline", detail, retryAfter),
    };
  }

  #finalRefusal(): Refusal {
    const { request } = this.#options;
    return this.#refusal ?? retryableRefusal(
      "no_backend_server",
      `no backend server of ${request.service.name} can be reached now`,
    );
  }

  #withdrawAll(): void {
    for (const session of this.#reservations.values()) {
      session.withdraw(this.#options.requestNumber);
    }
    this.#reservations.clear();
  }
}

function evictedRefusal({ service, tier }: ResolvedRequest): Refusal {
  return retryableRefusal(
    "evicted",
    `a request of a higher tier than ${tier.name} took its place in ` +
      `${service.name}'s waiting room`,
  );
}

/** Of two refusals, returns the one that lets the caller retry earlier. */
function earliestRetry(current: Refusal | undefined, next: Refusal): Refusal {
  if (current?.retryAfter === undefined || next.retryAfter === undefined) {
    return next;
  }
  return next.retryAfter <= current.retryAfter ? next : current;
}

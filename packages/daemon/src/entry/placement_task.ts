/**
 * Finds a backend server for one waiting request: places reservations, takes
 * the first grant, hands the request over to it and withdraws the others.
 * @module
 */
import { ReservationPlan } from "@sycamorepulley/decisions";
import type { HandOverMessage, ReserveMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { Metrics } from "../common/metrics.ts";
import type { Mailbox } from "./mailbox.ts";
import type { PlacementOutcome } from "./placement_outcome.ts";
import { notRun } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestEvent } from "./request_event.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import type { ServiceDesk } from "./service_desk.ts";
import type { SessionPool } from "./session_pool.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/** How long a request without budget or candidates waits to look again. */
const LOOK_AGAIN = 100;

/** Options of {@link PlacementTask}. */
export type PlacementTaskOptions = {
  number: number;
  request: ResolvedRequest;
  /** Version that new requests go to; any when absent. */
  version?: string | undefined;
  desk: ServiceDesk;
  sessions: SessionPool;
  mailbox: Mailbox<RequestEvent>;
  metrics: Metrics;
  random: () => number;
};

/** One request's reservations, from the first to the hand-over. */
export class PlacementTask {
  readonly #options: PlacementTaskOptions;
  readonly #plan: ReservationPlan;
  readonly #held = new Map<string, SidecarSession>();
  readonly #excluded = new Set<string>();
  /** Reservations lost to a refusal or a broken link, not yet replaced. */
  #lost = 0;
  #refusal: Refusal | undefined;
  readonly #suspect: boolean;

  constructor(options: PlacementTaskOptions) {
    this.#options = options;
    const { prefixKey, arrived, fingerprint } = options.request;
    const { suspects } = options.desk;
    const verdict = suspects.verdict(fingerprint, monotonicNow());
    this.#suspect = verdict.kind === "suspect";
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
      if (now >= request.deadline) return this.#deadlinePassed();
      const placing = this.#reserveMore(now);
      if (placing === "nobody left") {
        return { kind: "refused", refusal: this.#finalRefusal() };
      }
      const event = await mailbox.take(this.#nextLook(now) - now);
      if (!event) continue;
      const outcome = this.#react(event);
      if (outcome) return outcome;
    }
  }

  #react(event: RequestEvent): PlacementOutcome | undefined {
    const { request } = this.#options;
    switch (event.kind) {
      case "callerLeft":
        return { kind: "callerLeft" };
      case "evicted":
        return { kind: "refused", refusal: evictedHere(request) };
      case "grant":
        return this.#handOver(event.sidecar, event.grant);
      case "refuse":
        return this.#refused(event);
      case "linkLost":
        return this.#lose(event.sidecar, "link_lost");
      default:
        return undefined;
    }
  }

  #handOver(sidecar: string, grant: number): PlacementOutcome | undefined {
    if (this.#suspect && !this.#takeTurn(sidecar)) return undefined;
    const session = this.#held.get(sidecar);
    // Nothing was sent when the link is gone: the request may go elsewhere.
    if (!session?.handOver(this.#handOverMessage(grant))) {
      return this.#lose(sidecar, "link_lost");
    }
    this.#held.delete(sidecar);
    const { desk } = this.#options;
    const now = monotonicNow();
    desk.retryBudget.recordSuccess(now);
    desk.ejection.recordStart(sidecar, now);
    return { kind: "handedOver", session };
  }

  /**
   * One suspect of a service runs at a time, so that a second crash takes one
   * server and tells who did it.
   */
  #takeTurn(sidecar: string): boolean {
    const { desk, request, number } = this.#options;
    const { fingerprint } = request;
    if (desk.suspects.tryStartRun(fingerprint, sidecar, monotonicNow())) {
      return true;
    }
    this.#held.get(sidecar)?.withdraw(number);
    this.#held.delete(sidecar);
    this.#plan.markLost();
    return false;
  }

  #refused(event: RequestEvent & { kind: "refuse" }): undefined {
    const { sidecar, reason, retryAfter } = event;
    const { desk, request } = this.#options;
    if (reason === "leaving") desk.servers.markLeaving(sidecar);
    const detail = `no backend server of ${request.service.name} takes a ` +
      `request of tier ${request.tier.name} now`;
    this.#refusal = soonest(
      this.#refusal,
      notRun(reason, detail, retryAfter),
    );
    return this.#lose(sidecar, reason);
  }

  #lose(sidecar: string, reason: string): undefined {
    if (!this.#held.delete(sidecar)) return;
    this.#excluded.add(sidecar);
    this.#lost += 1;
    const { metrics, request } = this.#options;
    metrics.retries.inc({ service: request.service.name, reason });
  }

  #reserveMore(now: number): "placed" | "nobody left" {
    this.#spendBudget(now);
    // Each server that holds a suspect's place empties itself for it.
    if (this.#suspect && this.#held.size > 0) return "placed";
    const planned = this.#plan.next(now);
    if (this.#suspect) {
      this.#plan.markLost(Math.max(0, planned.count - 1));
      planned.count = Math.min(planned.count, 1);
    }
    if (planned.count > 0) {
      const names = this.#choose(planned, now);
      for (const name of names) this.#reserve(name, now);
      this.#plan.markLost(planned.count - names.length);
    }
    if (this.#held.size > 0 || this.#lost > 0) return "placed";
    return this.#plan.nextAt === undefined || this.#outOfServers(now)
      ? "nobody left"
      : "placed";
  }

  /** Replaces lost reservations as far as the service's budget allows. */
  #spendBudget(now: number): void {
    const { desk } = this.#options;
    while (this.#lost > 0 && desk.retryBudget.tryTake(now)) {
      this.#lost -= 1;
      this.#plan.markLost();
    }
    // Others hold the request's place, so there is nothing to replace for now.
    if (this.#held.size > 0) return;
    if (this.#outOfServers(now)) this.#lost = 0;
  }

  #outOfServers(now: number): boolean {
    return this.#choose({ count: 1, reach: "everywhere" }, now).length === 0;
  }

  #choose(
    planned: { count: number; reach: "dataCentre" | "region" | "everywhere" },
    now: number,
  ): string[] {
    const { desk, request, random, version } = this.#options;
    return desk.servers.choose({
      count: planned.count,
      reach: planned.reach,
      exclude: new Set([...this.#excluded, ...this.#held.keys()]),
      prefixKey: request.prefixKey,
      version,
      tierRank: request.tier.rank,
      now,
      random,
    });
  }

  #reserve(name: string, now: number): void {
    const { sessions, mailbox, metrics, request } = this.#options;
    const session = sessions.session(name);
    if (!session) {
      this.#excluded.add(name);
      this.#plan.markLost();
      return;
    }
    this.#held.set(name, session);
    metrics.reservations.inc({ service: request.service.name });
    session.reserve(this.#reserveMessage(now), mailbox);
  }

  #reserveMessage(now: number): ReserveMessage {
    const { number, request } = this.#options;
    return {
      type: "reserve",
      reservation: number,
      service: request.service.name,
      tierRank: request.tier.rank,
      organisation: request.organisation,
      route: request.route,
      cost: request.cost,
      remaining: request.deadline - now,
      fingerprint: request.fingerprint,
      ...(request.firstTokenBy === undefined
        ? {}
        : { firstTokenRemaining: request.firstTokenBy - now }),
      ...(request.prefixKey ? { prefixKey: request.prefixKey } : {}),
      ...(this.#suspect ? { suspect: true } : {}),
    };
  }

  #handOverMessage(grant: number): HandOverMessage {
    const { number, request } = this.#options;
    return {
      type: "handOver",
      reservation: number,
      grant,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      remaining: request.deadline - monotonicNow(),
      ...(request.idempotent ? {} : { runToCompletion: true }),
    };
  }

  #nextLook(now: number): number {
    const { deadline } = this.#options.request;
    const wave = this.#plan.nextAt ?? deadline;
    const look = this.#lost > 0 || this.#held.size === 0
      ? now + LOOK_AGAIN
      : deadline;
    return Math.min(wave, look, deadline);
  }

  #deadlinePassed(): PlacementOutcome {
    const detail = "the deadline passed before a backend server had room";
    const { retryAfter } = this.#finalRefusal();
    return { kind: "refused", refusal: notRun("deadline", detail, retryAfter) };
  }

  #finalRefusal(): Refusal {
    const { request } = this.#options;
    return this.#refusal ?? notRun(
      "no_backend_server",
      `no backend server of ${request.service.name} can be reached now`,
    );
  }

  #withdrawAll(): void {
    for (const session of this.#held.values()) {
      session.withdraw(this.#options.number);
    }
    this.#held.clear();
  }
}

function evictedHere({ service, tier }: ResolvedRequest): Refusal {
  return notRun(
    "evicted",
    `a request of a higher tier than ${tier.name} took its place in ` +
      `${service.name}'s waiting room`,
  );
}

/** The refusal that lets the caller come back first. */
function soonest(known: Refusal | undefined, next: Refusal): Refusal {
  if (known?.retryAfter === undefined || next.retryAfter === undefined) {
    return next;
  }
  return next.retryAfter <= known.retryAfter ? next : known;
}

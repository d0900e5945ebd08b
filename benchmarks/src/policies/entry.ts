/**
 * Simulates an entry without its network. It keeps the request, places
 * reservations at sidecars and hands the request over to the sidecar that
 * grants first. The decisions are those of `@sycamorepulley/decisions`.
 * @module
 */
import {
  BackendServerSet,
  CostEstimator,
  CrashSuspects,
  type ObservedLoad,
  OutlierEjection,
  ReservationPlan,
  RetryBudget,
  ServiceTimeEstimator,
} from "@sycamorepulley/decisions";
import type { Outcome } from "../model/outcome.ts";
import { FixedPlan } from "./fixed_plan.ts";
import type { PendingRequest } from "./pending_request.ts";
import type { Fleet } from "./fleet.ts";
import type { LateBindingSettings } from "./late_binding_settings.ts";
import type { Caller } from "./policy.ts";
import { createRequestShape } from "./request_shape.ts";
import { SidecarMessageHandler } from "./reservation.ts";
import type { Sidecar } from "./sidecar.ts";

/** One simulated entry. */
export class Entry extends SidecarMessageHandler {
  sidecars: readonly Sidecar[] = [];
  readonly #index: number;
  readonly #fleet: Fleet;
  readonly #caller: Caller;
  readonly #settings: LateBindingSettings;
  readonly #indexByName = new Map<string, number>();
  readonly #pending = new Map<string, PendingRequest>();
  readonly #idByOutcome = new Map<Outcome, string>();
  readonly #costEstimator = new CostEstimator();
  readonly #serviceTimes = new ServiceTimeEstimator();
  readonly #ejection = new OutlierEjection();
  readonly #retryBudget = new RetryBudget();
  readonly #suspects = new CrashSuspects();
  readonly #servers: BackendServerSet;

  constructor(options: {
    index: number;
    fleet: Fleet;
    caller: Caller;
    settings: LateBindingSettings;
  }) {
    super();
    this.#index = options.index;
    this.#fleet = options.fleet;
    this.#caller = options.caller;
    this.#settings = options.settings;
    this.#servers = new BackendServerSet({
      entry: `entry-${options.index}`,
      dataCentre: `data-centre-${options.index}`,
      allowed: (name, now) =>
        !options.settings.ejection || this.#ejection.allowed(name, now),
    });
    for (const [index, { settings }] of options.fleet.engines.entries()) {
      this.#indexByName.set(settings.name, index);
      this.#servers.add(settings, 0);
      this.#ejection.add(settings.name);
    }
  }

  submit(outcome: Outcome): void {
    const { now } = this.#fleet.loop;
    const { request } = outcome;
    const verdict = this.#suspects.verdict(request.fingerprint, now);
    if (this.#settings.quarantine && verdict.kind === "quarantined") {
      this.#caller.notifyRefused(outcome, "quarantined");
      return;
    }
    if (this.#servers.shedsTier(this.#tierRank(outcome), now).sheds) {
      this.#caller.notifyRefused(outcome, "shed_early");
      return;
    }
    const id = `${this.#index}/${request.id}/${request.attempt}`;
    const pending: PendingRequest = {
      id,
      outcome,
      cost: this.#costEstimator.estimate(createRequestShape(outcome)),
      plan: this.#createPlan(outcome),
      suspect: this.#settings.quarantine && verdict.kind === "suspect",
      holders: new Set(),
      tried: new Set(),
      server: undefined,
      handedOverAt: now,
      timeToFirstToken: undefined,
      lastRefusalReason: "no_server",
    };
    this.#pending.set(id, pending);
    this.#idByOutcome.set(outcome, id);
    this.#placeReservations(pending);
  }

  cancel(outcome: Outcome): void {
    const pending = this.#pending.get(this.#idByOutcome.get(outcome) ?? "");
    if (pending === undefined) return;
    this.#removePending(pending);
    const { id, server } = pending;
    if (server === undefined) {
      this.#withdrawAll(pending);
      return;
    }
    if (pending.suspect) {
      this.#suspects.cancelRun(outcome.request.fingerprint);
    }
    this.#send(server, (sidecar) => sidecar.cancel(id));
  }

  override handleGrant(id: string, server: number, grant: number): void {
    const { now } = this.#fleet.loop;
    const pending = this.#pending.get(id);
    const name = this.#nameOf(server);
    if (pending === undefined || pending.server !== undefined) {
      this.#send(server, (sidecar) => sidecar.withdraw(id));
      return;
    }
    const { fingerprint } = pending.outcome.request;
    if (
      pending.suspect && !this.#suspects.tryStartRun(fingerprint, name, now)
    ) {
      this.#send(server, (sidecar) => sidecar.withdraw(id));
      this.handleRefusal(id, server, "suspect_busy");
      return;
    }
    pending.server = server;
    pending.handedOverAt = now;
    pending.holders.delete(name);
    this.#send(server, (sidecar) => sidecar.handOver(id, this.#index, grant));
    this.#withdrawAll(pending);
    this.#retryBudget.recordSuccess(now);
    this.#ejection.recordStart(name, now);
  }

  override handleRefusal(id: string, server: number, reason: string): void {
    const { now } = this.#fleet.loop;
    const pending = this.#pending.get(id);
    if (pending === undefined || pending.server !== undefined) return;
    if (!pending.holders.delete(this.#nameOf(server))) return;
    pending.lastRefusalReason = reason;
    if (this.#retryBudget.tryTake(now)) {
      pending.plan.markLost();
      this.#placeReservations(pending);
    }
    this.#refuseIfExhausted(pending);
  }

  override handleFirstToken(id: string, _server: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.timeToFirstToken = this.#fleet.loop.now - pending.handedOverAt;
    this.#caller.notifyFirstToken(pending.outcome);
  }

  override handleFinished(id: string, server: number): void {
    const { now } = this.#fleet.loop;
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const { outcome, cost } = pending;
    const { promptTokens, outputTokens, fingerprint } = outcome.request;
    const firstToken = pending.timeToFirstToken ?? now - pending.handedOverAt;
    const expected = this.#serviceTimes.expectedFirstToken(cost);
    this.#ejection.recordSuccess(
      this.#nameOf(server),
      now,
      firstToken / expected,
    );
    this.#serviceTimes.observe({
      cost: { promptTokens, outputTokens },
      firstToken,
      total: now - pending.handedOverAt,
    });
    this.#costEstimator.observe({
      ...createRequestShape(outcome),
      promptTokens,
      outputTokens,
    });
    this.#suspects.recordCompleteRun(fingerprint, now);
    this.#removePending(pending);
    this.#caller.notifyFinished(outcome);
  }

  override handleCrash(fingerprints: readonly string[], server: number): void {
    const { now } = this.#fleet.loop;
    const name = this.#nameOf(server);
    const requests = fingerprints.map((fingerprint) => [fingerprint]);
    this.#suspects.recordCrash(requests, name, now);
    this.#ejection.recordFailure(name, "crash", now);
  }

  override handleFailure(id: string, _server: number, reason: string): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#removePending(pending);
    this.#caller.notifyRefused(pending.outcome, reason);
  }

  override handleLoad(server: number, load: ObservedLoad): void {
    const { now } = this.#fleet.loop;
    this.#servers.observeLoad(this.#nameOf(server), load, now);
  }

  #createPlan({ request }: Outcome): ReservationPlan | FixedPlan {
    const { fixedReservations } = this.#settings;
    if (fixedReservations !== undefined) {
      return new FixedPlan(fixedReservations);
    }
    return new ReservationPlan({
      prefixKey: this.#settings.prefixAffinity ? request.prefixKey : undefined,
      arrived: request.arrival,
    });
  }

  #placeReservations(pending: PendingRequest): void {
    const { loop, random } = this.#fleet;
    const { plan, tried, holders, outcome } = pending;
    const { count, reach } = plan.next(loop.now);
    const names = this.#servers.choose({
      count,
      exclude: tried,
      prefixKey: this.#settings.prefixAffinity
        ? outcome.request.prefixKey
        : undefined,
      tierRank: this.#tierRank(outcome),
      reach,
      now: loop.now,
      random: () => random.uniform(),
    });
    if (names.length < count) plan.markLost(count - names.length);
    for (const name of names) {
      tried.add(name);
      holders.add(name);
      this.#reserve(pending, this.#indexByName.get(name)!);
    }
    const { nextAt } = plan;
    if (nextAt === undefined) return;
    loop.scheduleAt(nextAt, () => this.#placeNextWave(pending, nextAt));
  }

  /** Places the next wave, unless it was placed already or a sidecar granted. */
  #placeNextWave(pending: PendingRequest, due: number): void {
    if (this.#pending.get(pending.id) !== pending) return;
    if (pending.server !== undefined || pending.plan.nextAt !== due) return;
    this.#placeReservations(pending);
    this.#refuseIfExhausted(pending);
  }

  #reserve(pending: PendingRequest, server: number): void {
    const { now } = this.#fleet.loop;
    const { request } = pending.outcome;
    const { requestClass, arrival, organisation } = request;
    const reservation = {
      id: pending.id,
      entry: this.#index,
      tierRank: this.#tierRank(pending.outcome),
      organisation: this.#settings.fairQueueing ? organisation : "any",
      cost: pending.cost,
      remaining: arrival + requestClass.deadline - now,
      firstTokenRemaining: arrival + requestClass.firstTokenGoal - now,
      suspect: pending.suspect,
      outcome: pending.outcome,
    };
    this.#send(server, (sidecar) => sidecar.reserve(reservation));
  }

  /**
   * Refuses the request at once if no sidecar holds a reservation and no further
   * wave is planned.
   */
  #refuseIfExhausted(pending: PendingRequest): void {
    if (pending.holders.size > 0 || pending.plan.nextAt !== undefined) return;
    this.#removePending(pending);
    this.#caller.notifyRefused(pending.outcome, pending.lastRefusalReason);
  }

  #withdrawAll(pending: PendingRequest): void {
    for (const name of pending.holders) {
      const server = this.#indexByName.get(name)!;
      this.#send(server, (sidecar) => sidecar.withdraw(pending.id));
    }
    pending.holders.clear();
  }

  #removePending(pending: PendingRequest): void {
    this.#pending.delete(pending.id);
    this.#idByOutcome.delete(pending.outcome);
  }

  #tierRank({ request }: Outcome): number {
    return this.#settings.tiers ? request.requestClass.tierRank : 0;
  }

  #nameOf(server: number): string {
    return this.#fleet.engines[server]!.settings.name;
  }

  #send(server: number, message: (sidecar: Sidecar) => void): void {
    const sidecar = this.sidecars[server]!;
    this.#fleet.send(this.#index, server, () => message(sidecar));
  }
}

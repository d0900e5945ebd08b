/**
 * An entry without its network: it keeps the request, places reservations,
 * hands over to the first grant. The decisions are the product's own.
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
import type { Pending } from "./pending.ts";
import type { Fleet } from "./fleet.ts";
import type { LateBindingSettings } from "./late_binding_settings.ts";
import type { Caller } from "./policy.ts";
import { shapeOf } from "./request_shape.ts";
import { SidecarPeer } from "./reservation.ts";
import type { Sidecar } from "./sidecar.ts";

/** See the module. */
export class Entry extends SidecarPeer {
  sidecars: readonly Sidecar[] = [];
  readonly #index: number;
  readonly #fleet: Fleet;
  readonly #caller: Caller;
  readonly #settings: LateBindingSettings;
  readonly #indexOf = new Map<string, number>();
  readonly #pending = new Map<string, Pending>();
  readonly #idOf = new Map<Outcome, string>();
  readonly #costs = new CostEstimator();
  readonly #serviceTimes = new ServiceTimeEstimator();
  readonly #ejection = new OutlierEjection();
  readonly #retries = new RetryBudget();
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
      this.#indexOf.set(settings.name, index);
      this.#servers.add(settings, 0);
      this.#ejection.add(settings.name);
    }
  }

  arrive(outcome: Outcome): void {
    const { now } = this.#fleet.loop;
    const { request } = outcome;
    const verdict = this.#suspects.verdict(request.fingerprint, now);
    if (this.#settings.suspects && verdict.kind === "quarantined") {
      this.#caller.refused(outcome, "quarantined");
      return;
    }
    if (this.#servers.shedsTier(this.#tierRank(outcome), now).sheds) {
      this.#caller.refused(outcome, "shed_early");
      return;
    }
    const id = `${this.#index}/${request.id}/${request.attempt}`;
    const pending: Pending = {
      id,
      outcome,
      cost: this.#costs.estimate(shapeOf(outcome)),
      plan: this.#plan(outcome),
      suspect: this.#settings.suspects && verdict.kind === "suspect",
      holders: new Set(),
      asked: new Set(),
      server: undefined,
      handedOverAt: now,
      firstTokenAfter: undefined,
      lastReason: "no_server",
    };
    this.#pending.set(id, pending);
    this.#idOf.set(outcome, id);
    this.#place(pending);
  }

  abandon(outcome: Outcome): void {
    const pending = this.#pending.get(this.#idOf.get(outcome) ?? "");
    if (pending === undefined) return;
    this.#forget(pending);
    const { id, server } = pending;
    if (server === undefined) {
      this.#withdrawFrom(pending);
      return;
    }
    if (pending.suspect) {
      this.#suspects.cancelRun(outcome.request.fingerprint);
    }
    this.#send(server, (sidecar) => sidecar.cancel(id));
  }

  override granted(id: string, server: number, grant: number): void {
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
      this.refused(id, server, "suspect_busy");
      return;
    }
    pending.server = server;
    pending.handedOverAt = now;
    pending.holders.delete(name);
    this.#send(server, (sidecar) => sidecar.handOver(id, this.#index, grant));
    this.#withdrawFrom(pending);
    this.#retries.recordSuccess(now);
    this.#ejection.recordStart(name, now);
  }

  override refused(id: string, server: number, reason: string): void {
    const { now } = this.#fleet.loop;
    const pending = this.#pending.get(id);
    if (pending === undefined || pending.server !== undefined) return;
    if (!pending.holders.delete(this.#nameOf(server))) return;
    pending.lastReason = reason;
    if (this.#retries.tryTake(now)) {
      pending.plan.markLost();
      this.#place(pending);
    }
    this.#refuseIfNobodyLeft(pending);
  }

  override firstToken(id: string, _server: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.firstTokenAfter = this.#fleet.loop.now - pending.handedOverAt;
    this.#caller.firstToken(pending.outcome);
  }

  override finished(id: string, server: number): void {
    const { now } = this.#fleet.loop;
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const { outcome, cost } = pending;
    const { promptTokens, outputTokens, fingerprint } = outcome.request;
    const firstToken = pending.firstTokenAfter ?? now - pending.handedOverAt;
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
    this.#costs.observe({ ...shapeOf(outcome), promptTokens, outputTokens });
    this.#suspects.recordCleanRun(fingerprint, now);
    this.#forget(pending);
    this.#caller.finished(outcome);
  }

  override crashed(fingerprints: readonly string[], server: number): void {
    const { now } = this.#fleet.loop;
    const name = this.#nameOf(server);
    this.#suspects.recordCrash(fingerprints, name, now);
    this.#ejection.recordFailure(name, "crash", now);
  }

  override failed(id: string, _server: number, reason: string): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#forget(pending);
    this.#caller.refused(pending.outcome, reason);
  }

  override observeLoad(server: number, load: ObservedLoad): void {
    const { now } = this.#fleet.loop;
    this.#servers.observeLoad(this.#nameOf(server), load, now);
  }

  #plan({ request }: Outcome): ReservationPlan | FixedPlan {
    const { reservations } = this.#settings;
    if (reservations !== undefined) return new FixedPlan(reservations);
    return new ReservationPlan({
      prefixKey: this.#settings.prefixAffinity ? request.prefixKey : undefined,
      arrived: request.arrival,
    });
  }

  #place(pending: Pending): void {
    const { loop, random } = this.#fleet;
    const { plan, asked, holders, outcome } = pending;
    const { count, reach } = plan.next(loop.now);
    const names = this.#servers.choose({
      count,
      exclude: asked,
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
      asked.add(name);
      holders.add(name);
      this.#reserve(pending, this.#indexOf.get(name)!);
    }
    const { nextAt } = plan;
    if (nextAt === undefined) return;
    loop.at(nextAt, () => this.#placeMore(pending, nextAt));
  }

  /** The next wave, unless it went out already or the request is settled. */
  #placeMore(pending: Pending, due: number): void {
    if (this.#pending.get(pending.id) !== pending) return;
    if (pending.server !== undefined || pending.plan.nextAt !== due) return;
    this.#place(pending);
    this.#refuseIfNobodyLeft(pending);
  }

  #reserve(pending: Pending, server: number): void {
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

  /** Told at once: no sidecar holds a place and no wave is to come. */
  #refuseIfNobodyLeft(pending: Pending): void {
    if (pending.holders.size > 0 || pending.plan.nextAt !== undefined) return;
    this.#forget(pending);
    this.#caller.refused(pending.outcome, pending.lastReason);
  }

  #withdrawFrom(pending: Pending): void {
    for (const name of pending.holders) {
      const server = this.#indexOf.get(name)!;
      this.#send(server, (sidecar) => sidecar.withdraw(pending.id));
    }
    pending.holders.clear();
  }

  #forget(pending: Pending): void {
    this.#pending.delete(pending.id);
    this.#idOf.delete(pending.outcome);
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

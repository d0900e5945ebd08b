/**
 * All that one entry grants for its group: quotas first, then the service's
 * queue. One entry grants for all that hear it; alone, it grants for itself.
 * @module
 */
import type { ServerRecord } from "../discovery/mod.ts";
import type { GroupParts } from "../fleet/mod.ts";
import { OrganisationQuotas } from "../quotas/mod.ts";
import type { Quota, QuotaLeeway } from "../quotas/mod.ts";
import { ServerLimits } from "../server_limits/mod.ts";
import type { Ask, AskVerdict, RunEnd } from "./ask.ts";
import type { AnswerPace } from "./server_room.ts";
import { ServiceDesk } from "./service_desk.ts";

/** Ends after which the quota's charge is taken back. */
const NOT_RUN: ReadonlySet<RunEnd> = new Set<RunEnd>([
  "connection_refused",
  "connection_timeout",
  "not_run",
  "misdirected",
]);

/**
 * Milliseconds to come back after a quota was used up, at least, and up to twice
 * as many: others of the organisation wait for the next tokens as well, and a
 * caller has one retry.
 */
const SOONEST_RETRY = 1000;

/** How full a service is, as the group knows it. */
export type ServiceLoad = {
  service: string;
  waiting: number;
  running: number;
  /** Requests that all its servers run at once. */
  places: number;
  /** Grants in a second. */
  granted: number;
};

/** Grants for a group of entries; verdicts are drawn by {@link Desk.verdicts}. */
export class Desk {
  readonly #services = new Map<string, ServiceDesk>();
  readonly #quotas: OrganisationQuotas;
  /** Asks that wait or run. */
  readonly #asks = new Map<string, Ask>();
  readonly #limits: ServerLimits;
  #parts: GroupParts = { room: 1, quota: 1 };

  /** `limits`: what servers state of what they accept; nothing if absent. */
  constructor(leeway: QuotaLeeway, limits = new ServerLimits()) {
    this.#limits = limits;
    this.#quotas = new OrganisationQuotas(leeway);
  }

  /** Takes over the servers that may be sent work, of all services. */
  setServers(records: readonly ServerRecord[]): void {
    const byService = new Map<string, ServerRecord[]>();
    for (const record of records) {
      const same = byService.get(record.service);
      if (same === undefined) byService.set(record.service, [record]);
      else same.push(record);
    }
    for (const [name, desk] of this.#services) {
      if (!byService.has(name)) desk.setServers([]);
    }
    for (const [name, servers] of byService) {
      this.#service(name).setServers(servers);
    }
  }

  /** See {@link OrganisationQuotas.setLeeway}. */
  setLeeway(leeway: QuotaLeeway): void {
    this.#quotas.setLeeway(leeway);
  }

  /** Takes over quotas, and the group's parts. */
  setShares(
    quotas: ReadonlyMap<string, Quota>,
    parts: GroupParts,
    now: number,
  ): void {
    this.#parts = parts;
    this.#quotas.configure(quotas, parts.quota, now);
    for (const desk of this.#services.values()) desk.setParts(parts);
  }

  /** Queues an ask, or turns it away at once; one that is known stays as it is. */
  ask(ask: Ask, now: number): AskVerdict | undefined {
    if (this.#asks.has(ask.id)) return undefined;
    const wait = this.#quotas.waitFor(ask.organisation, ask.charge, now);
    if (now + wait > ask.lapsesAt) {
      const soonest = SOONEST_RETRY * (1 + ask.spread);
      const retryAfter = Math.max(wait, soonest);
      const seen = this.#service(ask.service).seen(ask, now);
      return { kind: "refuse", ask, reason: "quota", retryAfter, seen };
    }
    const verdict = this.#service(ask.service).ask(ask, now);
    if (verdict === undefined) this.#asks.set(ask.id, ask);
    return verdict;
  }

  /** The request did not run: it no longer waits, or its grant went unused. */
  withdraw(ask: Ask): void {
    if (this.#remove(ask)) {
      this.#quotas.refund(ask.organisation, ask.charge);
    }
  }

  /** Another entry counts the ask from now on; what it was charged stands. */
  release(ask: Ask): void {
    this.#remove(ask);
  }

  /** True if the ask was granted. */
  #remove(ask: Ask): boolean {
    if (!this.#asks.delete(ask.id)) return false;
    return this.#services.get(ask.service)?.withdraw(ask.id) ?? false;
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: Ask, server: string): void {
    this.#asks.set(ask.id, ask);
    this.#service(ask.service).adopt(ask, server);
  }

  /** See {@link ServiceDesk.firstAnswer}. */
  firstAnswer(id: string, measured: number, now: number): void {
    this.#deskOf(id)?.firstAnswer(id, measured, now);
  }

  /** See {@link ServiceDesk.restAnswered}. */
  restAnswered(id: string, pace: AnswerPace, now: number): void {
    this.#deskOf(id)?.restAnswered(id, pace, now);
  }

  /** See {@link ServiceDesk.ended}. */
  ended(id: string, end: RunEnd, now: number): void {
    const ask = this.#asks.get(id);
    if (ask === undefined) return;
    this.#asks.delete(id);
    this.#services.get(ask.service)?.ended(id, end, now);
    if (!NOT_RUN.has(end)) return;
    this.#quotas.refund(ask.organisation, ask.charge);
  }

  /** Drops all that an entry asked for. */
  forgetEntry(entry: string): void {
    for (const [id, ask] of this.#asks) {
      if (ask.entry === entry) this.#asks.delete(id);
    }
    for (const desk of this.#services.values()) desk.forgetEntry(entry);
  }

  /** Everything that can be decided now. */
  verdicts(now: number): AskVerdict[] {
    const verdicts: AskVerdict[] = [];
    for (const desk of this.#services.values()) {
      verdicts.push(...desk.verdicts(now));
    }
    for (const verdict of verdicts) {
      if (verdict.kind === "refuse") this.#asks.delete(verdict.ask.id);
    }
    return verdicts;
  }

  /** Waiting and running of each service, for metrics. */
  loads(now: number): ServiceLoad[] {
    return [...this.#services].map(([service, desk]) => ({
      service,
      waiting: desk.waiting,
      running: desk.running,
      places: desk.places,
      granted: desk.granted(now),
    }));
  }

  #deskOf(id: string): ServiceDesk | undefined {
    const ask = this.#asks.get(id);
    return ask && this.#services.get(ask.service);
  }

  #service(name: string): ServiceDesk {
    let desk = this.#services.get(name);
    if (desk === undefined) {
      desk = new ServiceDesk(this.#quotas, this.#limits);
      desk.setParts(this.#parts);
      this.#services.set(name, desk);
    }
    return desk;
  }
}

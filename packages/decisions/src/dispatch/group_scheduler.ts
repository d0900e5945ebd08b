/**
 * All that one entry grants for its group: quotas first, then the service's
 * queue. One entry grants for all that hear it; alone, it grants for itself.
 * @module
 */
import type { ServerRecord } from "../discovery/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import { OrganisationQuotas } from "../quotas/mod.ts";
import type { Quota, QuotaLeeway } from "../quotas/mod.ts";
import { ServerLimits } from "../server_limits/mod.ts";
import type {
  GrantDecision,
  GrantRequest,
  RunOutcome,
} from "./grant_request.ts";
import type { StreamTiming } from "./pooled_server.ts";
import { ServiceScheduler } from "./service_scheduler.ts";

/** Ends after which the quota's charge is taken back. */
const NOT_RUN: ReadonlySet<RunOutcome> = new Set<RunOutcome>([
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

/** Grants for a group of entries; verdicts are drawn by {@link GroupScheduler.decide}. */
export class GroupScheduler {
  readonly #services = new Map<string, ServiceScheduler>();
  readonly #quotas: OrganisationQuotas;
  /** Asks that wait or run. */
  readonly #asks = new Map<string, GrantRequest>();
  readonly #limits: ServerLimits;
  #parts: GroupFractions = { room: 1, quota: 1 };

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
  setQuotas(
    quotas: ReadonlyMap<string, Quota>,
    parts: GroupFractions,
    now: number,
  ): void {
    this.#parts = parts;
    this.#quotas.configure(quotas, parts.quota, now);
    for (const desk of this.#services.values()) desk.setParts(parts);
  }

  /** Queues an ask, or turns it away at once; one that is known stays as it is. */
  submit(request: GrantRequest, now: number): GrantDecision | undefined {
    if (this.#asks.has(request.id)) return undefined;
    const wait = this.#quotas.waitFor(
      request.organisation,
      request.charge,
      now,
    );
    if (now + wait > request.expiresAt) {
      const soonest = SOONEST_RETRY * (1 + request.jitter);
      const retryAfter = Math.max(wait, soonest);
      const inputs = this.#service(request.service).seen(request, now);
      return {
        kind: "refuse",
        request: request,
        reason: "quota",
        retryAfter,
        inputs: inputs,
      };
    }
    const verdict = this.#service(request.service).submit(request, now);
    if (verdict === undefined) this.#asks.set(request.id, request);
    return verdict;
  }

  /** The request did not run: it no longer waits, or its grant went unused. */
  withdraw(ask: GrantRequest): void {
    if (this.#remove(ask)) {
      this.#quotas.refund(ask.organisation, ask.charge);
    }
  }

  /** Another entry counts the ask from now on; what it was charged stands. */
  release(ask: GrantRequest): void {
    this.#remove(ask);
  }

  /** True if the ask was granted. */
  #remove(ask: GrantRequest): boolean {
    if (!this.#asks.delete(ask.id)) return false;
    return this.#services.get(ask.service)?.withdraw(ask.id) ?? false;
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: GrantRequest, server: string): void {
    this.#asks.set(ask.id, ask);
    this.#service(ask.service).adopt(ask, server);
  }

  /** See {@link ServiceScheduler.recordResponseStart}. */
  recordResponseStart(id: string, measured: number, now: number): void {
    this.#deskOf(id)?.recordResponseStart(id, measured, now);
  }

  /** See {@link ServiceScheduler.recordStreamTiming}. */
  recordStreamTiming(id: string, pace: StreamTiming, now: number): void {
    this.#deskOf(id)?.recordStreamTiming(id, pace, now);
  }

  /** See {@link ServiceScheduler.recordEnd}. */
  recordEnd(id: string, end: RunOutcome, now: number): void {
    const ask = this.#asks.get(id);
    if (ask === undefined) return;
    this.#asks.delete(id);
    this.#services.get(ask.service)?.recordEnd(id, end, now);
    if (!NOT_RUN.has(end)) return;
    this.#quotas.refund(ask.organisation, ask.charge);
  }

  /** Drops all that an entry asked for. */
  removeEntry(entry: string): void {
    for (const [id, ask] of this.#asks) {
      if (ask.entry === entry) this.#asks.delete(id);
    }
    for (const desk of this.#services.values()) desk.removeEntry(entry);
  }

  /** Everything that can be decided now. */
  decide(now: number): GrantDecision[] {
    const verdicts: GrantDecision[] = [];
    for (const desk of this.#services.values()) {
      verdicts.push(...desk.decide(now));
    }
    for (const verdict of verdicts) {
      if (verdict.kind === "refuse") this.#asks.delete(verdict.request.id);
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

  #deskOf(id: string): ServiceScheduler | undefined {
    const ask = this.#asks.get(id);
    return ask && this.#services.get(ask.service);
  }

  #service(name: string): ServiceScheduler {
    let desk = this.#services.get(name);
    if (desk === undefined) {
      desk = new ServiceScheduler(this.#quotas, this.#limits);
      desk.setParts(this.#parts);
      this.#services.set(name, desk);
    }
    return desk;
  }
}

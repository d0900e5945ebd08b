/**
 * Schedules all requests that one entry grants for its group: it checks quotas,
 * then passes each request to the scheduler of its service. One entry grants
 * for all entries of its group; an entry without peers grants for itself.
 * @module
 */
import type {
  AppointmentCounts,
  ServiceAppointment,
} from "../appointments/mod.ts";
import type { BalanceState, TransferCount } from "../balance/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import type { ExclusionCause, ExclusionChange } from "../ejection/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import type {
  RolloutBounds,
  RolloutHandover,
  RolloutReport,
  RolloutState,
} from "../rollouts/mod.ts";
import { OrganisationQuotas } from "../quotas/mod.ts";
import type { Quota, QuotaLeeway } from "../quotas/mod.ts";
import { ServerLimits } from "../server_limits/mod.ts";
import type { StartLimitScope } from "../server_limits/mod.ts";
import type { LoadReport } from "../server_load/mod.ts";
import { CrashSuspects, SoleSuspectRule } from "../suspects/mod.ts";
import type { DetectedCrash } from "./crash_detection.ts";
import { fingerprintsOf } from "./grant_request.ts";
import type {
  GrantDecision,
  GrantRequest,
  RunOutcome,
} from "./grant_request.ts";
import type { StreamTiming } from "./pooled_server.ts";
import { DEFAULT_SCHEDULING } from "./scheduling_options.ts";
import type { SchedulingOptions } from "./scheduling_options.ts";
import type { PoolOptions } from "./server_pool.ts";
import { ServiceScheduler, startsOf } from "./service_scheduler.ts";
import type { SizeClassCounts } from "./size_class_counts.ts";

/** Outcomes after which the charge to the quota is refunded. */
const NOT_RUN_OUTCOMES: ReadonlySet<RunOutcome> = new Set<RunOutcome>([
  "connection_refused",
  "connection_timeout",
  "not_run",
  "misdirected",
]);

/**
 * Minimum retry delay in milliseconds after a refusal for the quota; jitter at
 * most doubles it. Other requests of the organisation compete for the next
 * tokens too, and a caller has one retry.
 */
const MINIMUM_QUOTA_RETRY_DELAY = 1000;

/** Load of a service, as seen by the granting entry. */
export type ServiceLoad = {
  service: string;
  waiting: number;
  running: number;
  /** Slots of all servers together. */
  places: number;
  /** Grants in the last second. */
  granted: number;
  /** Servers that get limited starts; absent if the service has no limit. */
  limitedStarts?: StartLimitScope;
};

/** Servers of a service that are excluded, by cause. */
export type ServiceExclusions = {
  service: string;
  counts: ReadonlyMap<ExclusionCause, number>;
};

/** Appointments of a service; the forecast's age is in milliseconds. */
export type AppointmentReport = {
  service: string;
  counts: AppointmentCounts;
  /** Infinite before the first refusal. */
  forecastAge: number;
};

/** Requests and grants of one priority class (tier and route) of a service. */
export type SizeClassReport = {
  service: string;
  priorityClass: string;
  counts: SizeClassCounts;
};

/** Transfers between data centres for a service since the last report. */
export type BalanceReport = {
  service: string;
  transfers: readonly TransferCount[];
  /** Absent while the service is not balanced. */
  state: BalanceState | undefined;
};

/**
 * Grants requests for a group of entries; {@link GroupScheduler.decide} makes
 * the decisions.
 */
export class GroupScheduler {
  readonly #services = new Map<string, ServiceScheduler>();
  readonly #quotas: OrganisationQuotas;
  /** Requests that wait or run, by id. */
  readonly #requests = new Map<string, GrantRequest>();
  readonly #limits: ServerLimits;
  readonly #suspects: CrashSuspects;
  readonly #poolOptions: PoolOptions;
  #fractions: GroupFractions = { room: 1, quota: 1 };
  /** Requests that a server accepts in a second, by service. */
  #startLimits: ReadonlyMap<string, number> = new Map();
  /** Tokens that a server of each service holds. */
  #memoryTokens: ReadonlyMap<string, number> = new Map();
  #rolloutBounds: RolloutBounds | undefined;
  #scheduling = DEFAULT_SCHEDULING;

  /**
   * `limits` holds the rates that servers accept, and `suspects` the requests
   * that may crash them; nothing is limited or suspected if they are absent.
   */
  constructor(
    leeway: QuotaLeeway,
    limits = new ServerLimits(),
    suspects = new CrashSuspects(new SoleSuspectRule()),
    poolOptions: PoolOptions = {},
  ) {
    this.#limits = limits;
    this.#poolOptions = poolOptions;
    this.#suspects = suspects;
    this.#quotas = new OrganisationQuotas(leeway);
  }

  /**
   * Replaces the servers, of all services, that may be sent requests. Returns
   * the crashes of servers whose address has been taken by a later start.
   */
  setServers(records: readonly ServerRecord[], now: number): DetectedCrash[] {
    const byService = new Map<string, ServerRecord[]>();
    for (const record of records) {
      const same = byService.get(record.service);
      if (same === undefined) byService.set(record.service, [record]);
      else same.push(record);
    }
    for (const name of byService.keys()) this.#service(name);
    // An address may be taken by a server of another service.
    const starts = startsOf(records);
    return [...this.#services].flatMap(([name, scheduler]) =>
      scheduler.setServers(byService.get(name) ?? [], now, starts)
    );
  }

  /** See {@link OrganisationQuotas.setLeeway}. */
  setLeeway(leeway: QuotaLeeway): void {
    this.#quotas.setLeeway(leeway);
  }

  /** Sets the quotas, and the group's fractions of capacity and quotas. */
  setQuotas(
    quotas: ReadonlyMap<string, Quota>,
    fractions: GroupFractions,
    now: number,
  ): void {
    this.#fractions = fractions;
    this.#quotas.configure(quotas, fractions.quota, now);
    for (const scheduler of this.#services.values()) {
      scheduler.setFractions(fractions);
    }
  }

  /**
   * Sets the requests that each server of a service accepts in any second while
   * it is cold. Servers of services without a number are not limited.
   */
  setStartLimits(limits: ReadonlyMap<string, number>): void {
    this.#startLimits = limits;
    for (const [name, scheduler] of this.#services) {
      scheduler.setStartLimit(limits.get(name));
    }
  }

  /**
   * Sets the tokens that each server of a service holds at a time. Servers of
   * services without a number are not limited.
   */
  setMemoryTokens(tokens: ReadonlyMap<string, number>): void {
    this.#memoryTokens = tokens;
    for (const [name, scheduler] of this.#services) {
      scheduler.setMemoryTokens(tokens.get(name));
    }
  }

  /** Sets whether, and how, the decisions for uneven load apply. */
  setScheduling(options: SchedulingOptions): void {
    this.#scheduling = options;
    for (const scheduler of this.#services.values()) {
      scheduler.setScheduling(options);
    }
  }

  /**
   * Sets what is known of the roll-outs, by service, with outcomes that other
   * entries have concluded.
   */
  setRollouts(states: ReadonlyMap<string, RolloutState>, now: number): void {
    for (const name of states.keys()) this.#service(name);
    for (const [name, { rollout }] of this.#services) {
      rollout.setState(states.get(name), now);
    }
  }

  /** Sets what a version that may be bad gets at most. */
  setRolloutBounds(bounds: RolloutBounds): void {
    this.#rolloutBounds = bounds;
    for (const { rollout } of this.#services.values()) {
      rollout.setBounds(bounds);
    }
  }

  /** Returns the conclusions on each roll-out that has an order. */
  rolloutReports(now: number): RolloutReport[] {
    return [...this.#services.values()].flatMap(({ rollout }) =>
      rollout.report(now) ?? []
    );
  }

  /** What a successor can continue the roll-outs from. */
  rolloutHandovers(now: number): RolloutHandover[] {
    return [...this.#services.values()].flatMap(({ rollout }) =>
      rollout.handover(now) ?? []
    );
  }

  /** Continues a roll-out from what another entry knows of it. */
  takeOverRollout(handover: RolloutHandover, now: number): void {
    this.#service(handover.service).rollout.takeOver(handover, now);
  }

  /** Queues a request, or refuses it at once; ignores one that is known. */
  submit(request: GrantRequest, now: number): GrantDecision | undefined {
    if (this.#requests.has(request.id)) return undefined;
    const verdict = this.#suspects.verdictOf(fingerprintsOf(request), now);
    if (verdict.kind === "quarantined") {
      const inputs = this.#service(request.service).refusalInputs(request, now);
      const { retryAfter } = verdict;
      const reason = "quarantined" as const;
      return { kind: "refuse", request, reason, retryAfter, inputs };
    }
    const wait = this.#quotas.waitFor(
      request.organisation,
      request.charge,
      now,
    );
    if (now + wait > request.expiresAt) {
      const minimum = MINIMUM_QUOTA_RETRY_DELAY * (1 + request.jitter);
      const retryAfter = Math.max(wait, minimum);
      const inputs = this.#service(request.service).refusalInputs(request, now);
      return { kind: "refuse", request, reason: "quota", retryAfter, inputs };
    }
    const decision = this.#service(request.service).submit(request, now);
    if (decision === undefined) this.#requests.set(request.id, request);
    return decision;
  }

  /** Removes a request that stopped waiting or did not use its grant. */
  withdraw(request: GrantRequest): void {
    if (this.#remove(request)) {
      this.#quotas.refund(request.organisation, request.charge);
    }
  }

  /** Removes a request that another entry now counts; it stays charged. */
  release(request: GrantRequest): void {
    this.#remove(request);
  }

  /** Returns true if the request was granted. */
  #remove(request: GrantRequest): boolean {
    if (!this.#requests.delete(request.id)) return false;
    return this.#services.get(request.service)?.withdraw(request.id) ?? false;
  }

  /** Counts a run that another entry has granted; see {@link ServerPool.adopt}. */
  adopt(
    request: GrantRequest,
    server: string,
    now: number,
    address?: string,
  ): void {
    this.#requests.set(request.id, request);
    this.#service(request.service).adopt(request, server, now, address);
  }

  /** Merges appointments that another granting entry has given. */
  mergeAppointments(appointments: readonly ServiceAppointment[]): void {
    for (const { service, ...appointment } of appointments) {
      this.#service(service).mergeAppointment(appointment);
    }
  }

  /** See {@link ServiceScheduler.recordServerLoad}. */
  recordServerLoad(id: string, report: LoadReport): void {
    this.#schedulerOf(id)?.recordServerLoad(id, report);
  }

  /** Last reports of the servers of all services, for metrics. */
  *reportedLoads(): ReturnType<ServiceScheduler["reportedLoads"]> {
    for (const scheduler of this.#services.values()) {
      yield* scheduler.reportedLoads();
    }
  }

  /** See {@link ServiceScheduler.recordResponseStart}. */
  recordResponseStart(id: string, latency: number, now: number): void {
    this.#schedulerOf(id)?.recordResponseStart(id, latency, now);
  }

  /** See {@link ServiceScheduler.recordStreamTiming}. */
  recordStreamTiming(id: string, timing: StreamTiming, now: number): void {
    this.#schedulerOf(id)?.recordStreamTiming(id, timing, now);
  }

  /** See {@link ServiceScheduler.recordRequestedBackoff}. */
  recordRequestedBackoff(id: string, duration: number, now: number): void {
    this.#schedulerOf(id)?.recordRequestedBackoff(id, duration, now);
  }

  /** See {@link ServiceScheduler.recordEnd}. */
  recordEnd(
    id: string,
    outcome: RunOutcome,
    now: number,
  ): DetectedCrash | undefined {
    const request = this.#requests.get(id);
    if (request === undefined) return undefined;
    this.#requests.delete(id);
    const scheduler = this.#services.get(request.service);
    const crash = scheduler?.recordEnd(id, outcome, now);
    if (outcome === "answered") {
      for (const fingerprint of fingerprintsOf(request)) {
        this.#suspects.recordCompleteRun(fingerprint, now);
      }
    }
    if (NOT_RUN_OUTCOMES.has(outcome)) {
      this.#quotas.refund(request.organisation, request.charge);
    }
    return crash;
  }

  /** Removes all requests of an entry, which has disconnected. */
  removeEntry(entry: string): void {
    for (const [id, request] of this.#requests) {
      if (request.entry === entry) this.#requests.delete(id);
    }
    for (const scheduler of this.#services.values()) {
      scheduler.removeEntry(entry);
    }
  }

  /** Makes all decisions that are possible now. */
  decide(now: number): GrantDecision[] {
    const decisions: GrantDecision[] = [];
    for (const scheduler of this.#services.values()) {
      decisions.push(...scheduler.decide(now));
    }
    for (const decision of decisions) {
      if (decision.kind === "refuse") {
        this.#requests.delete(decision.request.id);
      }
    }
    return decisions;
  }

  /** Returns the load of each service, for logs and metrics. */
  loads(now: number): ServiceLoad[] {
    return [...this.#services].map(([service, scheduler]) => ({
      service,
      waiting: scheduler.waiting,
      running: scheduler.running,
      places: scheduler.slots,
      granted: scheduler.grantsPerSecond(now),
      ...(scheduler.startLimitScope && {
        limitedStarts: scheduler.startLimitScope,
      }),
    }));
  }

  /**
   * Returns the requests and grants of each priority class since the last call.
   */
  takeSizeClassReports(): SizeClassReport[] {
    const reports: SizeClassReport[] = [];
    for (const [service, scheduler] of this.#services) {
      for (const [priorityClass, counts] of scheduler.takeSizeClassCounts()) {
        reports.push({ service, priorityClass, counts });
      }
    }
    return reports;
  }

  /** Returns the servers that were excluded or readmitted since the last call. */
  takeExclusionChanges(): ExclusionChange[] {
    const changes: ExclusionChange[] = [];
    for (const scheduler of this.#services.values()) {
      changes.push(...scheduler.takeExclusionChanges());
    }
    return changes;
  }

  /** Numbers of excluded servers, for metrics. */
  exclusions(): ServiceExclusions[] {
    return [...this.#services].map(([service, scheduler]) => ({
      service,
      counts: scheduler.excludedByCause,
    }));
  }

  /** Returns the transfers of each service since the last call. */
  takeBalanceReports(now: number): BalanceReport[] {
    return [...this.#services].map(([service, scheduler]) => ({
      service,
      transfers: scheduler.dataCentres.takeTransfers(),
      state: scheduler.isBalanced
        ? scheduler.dataCentres.state(now)
        : undefined,
    }));
  }

  /** Returns the appointments of each service since the last call. */
  takeAppointmentReports(now: number): AppointmentReport[] {
    return [...this.#services].map(([service, scheduler]) => ({
      service,
      counts: scheduler.takeAppointmentCounts(),
      forecastAge: scheduler.forecastAge(now),
    }));
  }

  #schedulerOf(id: string): ServiceScheduler | undefined {
    const request = this.#requests.get(id);
    return request && this.#services.get(request.service);
  }

  #service(name: string): ServiceScheduler {
    let scheduler = this.#services.get(name);
    if (scheduler === undefined) {
      scheduler = new ServiceScheduler(
        this.#quotas,
        this.#limits,
        this.#suspects,
        this.#poolOptions,
      );
      scheduler.setFractions(this.#fractions);
      scheduler.setStartLimit(this.#startLimits.get(name));
      scheduler.setMemoryTokens(this.#memoryTokens.get(name));
      scheduler.setScheduling(this.#scheduling);
      if (this.#rolloutBounds !== undefined) {
        scheduler.rollout.setBounds(this.#rolloutBounds);
      }
      this.#services.set(name, scheduler);
    }
    return scheduler;
  }
}

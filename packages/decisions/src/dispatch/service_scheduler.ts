/**
 * The single queue in front of all backend servers of a service. Decides which
 * requests wait, which server each one is sent to, and which are refused.
 *
 * Engines have no priorities and admit requests in order of arrival, so a
 * request that waits inside an engine can no longer be reordered. Therefore a
 * server is sent no more than it runs at once. Requests that wait here can be
 * reordered, sent to another server or refused early. They are ordered by
 * {@link priorityKey}. A request is refused, with a retry delay, once it can no
 * longer meet its latency goal and requests before it take up all capacity.
 * @module
 */
import { AppointmentPlanner } from "../appointments/mod.ts";
import type {
  Appointment,
  AppointmentCounts,
  CapacityInputs,
  PlannedReturn,
} from "../appointments/mod.ts";
import { incarnationOf, newestByAddress } from "../discovery/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import type { ExclusionCause, ExclusionChange } from "../ejection/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import { OrganisationQuotas } from "../quotas/mod.ts";
import type { QuotaLeeway } from "../quotas/mod.ts";
import { ServerLimits } from "../server_limits/mod.ts";
import type { StartLimitScope } from "../server_limits/mod.ts";
import type { LoadReport } from "../server_load/mod.ts";
import { CrashSuspects, SoleSuspectRule } from "../suspects/mod.ts";
import type { SuspectVerdict } from "../suspects/mod.ts";
import { BlockedRequests } from "./blocked_requests.ts";
import type { DetectedCrash } from "./crash_detection.ts";
import type { DataCentreSelection } from "./data_centre_selection.ts";
import { ResponseValue } from "./response_value.ts";
import { fingerprintsOf } from "./grant_request.ts";
import type {
  GrantDecision,
  GrantRefusalReason,
  GrantRequest,
  RefusalInputs,
  RequestStanding,
  RunOutcome,
} from "./grant_request.ts";
import { OrganisationShares } from "./organisation_shares.ts";
import { QueuedRequest, RequestQueue } from "./request_queue.ts";
import { ServiceDemand } from "./service_demand.ts";
import { QuotaReservations } from "./quota_reservations.ts";
import { priorityClassOf, priorityKey } from "./priority_key.ts";
import { maximumDelay, retryAfter } from "./retry_after.ts";
import { RouteFairness } from "./route_fairness.ts";
import { RetryingCallers } from "./retrying_callers.ts";
import type { StreamTiming } from "./pooled_server.ts";
import { GrantedRequests } from "./granted_requests.ts";
import { ServerPool } from "./server_pool.ts";
import type { GrantedRequest, PoolOptions } from "./server_pool.ts";
import type { SchedulingOptions } from "./scheduling_options.ts";
import type { PoolSnapshot } from "./server_selection.ts";
import type { ServiceRollout } from "../rollouts/mod.ts";
import { SizeClassCounter } from "./size_class_counts.ts";
import type { SizeClassCounts } from "./size_class_counts.ts";
import { SizeFairness } from "./size_fairness.ts";

/** Leeway without effect, for a scheduler without quotas. */
const NO_LEEWAY: QuotaLeeway = { window: 1000, overage: 0, slack: 0 };

/**
 * Number of requests without an available server after which a pass over the
 * queue ends, to bound its duration.
 */
const MAXIMUM_PASSED_OVER = 40;

/**
 * Number of requests that wait for a slot of their own data centre after which
 * a pass ends, for the same reason. While callers of the data centres that have
 * free servers wait behind them, it ends only after
 * {@link MAXIMUM_KEPT_BEFORE_OTHERS}.
 */
const MAXIMUM_KEPT = 20;
const MAXIMUM_KEPT_BEFORE_OTHERS = 400;

/**
 * Servers that may have crashed under a request or be silent since they ran it,
 * before it waits for one of the silent ones.
 */
const EXPOSURE_LIMIT = 3;

/**
 * Milliseconds after its arrival at which a request is submitted here, if it
 * has waited for another granting entry. One that was submitted there first
 * takes a few milliseconds.
 */
const MINIMUM_PRIOR_WAIT = 100;

/** Reasons after which a caller is told when there will be capacity. */
const PLANNED_REASONS: ReadonlySet<GrantRefusalReason> = new Set<
  GrantRefusalReason
>(["overload", "expired", "no_capacity"]);

/**
 * Grants the servers of one service; {@link ServiceScheduler.decide} makes the
 * decisions.
 */
export class ServiceScheduler {
  readonly #pool: ServerPool;
  readonly #demand = new ServiceDemand();
  readonly #responseValue = new ResponseValue();
  readonly #sizeFairness = new SizeFairness();
  readonly #routeFairness = new RouteFairness();
  readonly #sizeClassCounter = new SizeClassCounter();
  readonly #organisationShares = new OrganisationShares();
  readonly #queue = new RequestQueue({
    sizes: this.#sizeFairness,
    routes: this.#routeFairness,
    organisations: this.#organisationShares,
  });
  readonly #granted = new GrantedRequests();
  readonly #retryingCallers = new RetryingCallers();
  readonly #appointments = new AppointmentPlanner();
  readonly #quotas: OrganisationQuotas;
  readonly #quotaReservations: QuotaReservations;
  readonly #suspects: CrashSuspects;

  /**
   * Grants are charged to `quotas`, and `limits` holds the rates that servers
   * accept; without them nothing is limited. `suspects` holds the requests that
   * may crash servers.
   */
  constructor(
    quotas = new OrganisationQuotas(NO_LEEWAY),
    limits = new ServerLimits(),
    suspects = new CrashSuspects(new SoleSuspectRule()),
    poolOptions: PoolOptions = {},
  ) {
    this.#suspects = suspects;
    this.#quotas = quotas;
    this.#pool = new ServerPool(limits, poolOptions);
    this.#quotaReservations = new QuotaReservations(quotas);
  }

  get waiting(): number {
    return this.#queue.size;
  }

  get running(): number {
    return this.#granted.size;
  }

  /** Slots of all servers together. */
  get slots(): number {
    return this.#pool.slots;
  }

  get startLimitScope(): StartLimitScope | undefined {
    return this.#pool.startLimitScope;
  }

  /** Grants in the last second. */
  grantsPerSecond(now: number): number {
    return this.#demand.grantsPerSecond(now);
  }

  /**
   * Returns the requests and grants of each priority class since the last call.
   */
  takeSizeClassCounts(): ReadonlyMap<string, SizeClassCounts> {
    return this.#sizeClassCounter.take();
  }

  /**
   * Replaces the set of servers that may be sent requests. `starts`: see
   * {@link startsOf}. Returns the crashes that the starts show.
   */
  setServers(
    records: readonly ServerRecord[],
    now: number,
    starts = startsOf(records),
  ): DetectedCrash[] {
    const crashes = this.#pool.setServers(records, starts, now);
    for (const crash of crashes) this.#suspects.recordServerCrash(crash, now);
    return crashes;
  }

  /** See {@link ServerPool.setFractions}. */
  setFractions(fractions: GroupFractions): void {
    this.#pool.setFractions(fractions);
    this.#appointments.limitTo(this.#pool.slots * fractions.room);
  }

  setScheduling(options: SchedulingOptions): void {
    this.#pool.setScheduling(options);
  }

  /** See {@link ServerPool.setMemoryTokens}. */
  setMemoryTokens(tokens: number | undefined): void {
    this.#pool.setMemoryTokens(tokens);
  }

  /** See {@link ServerPool.setStartLimit}. */
  setStartLimit(accepted: number | undefined): void {
    this.#pool.setStartLimit(accepted);
  }

  /** See {@link ServerPool.takeExclusionChanges}. */
  takeExclusionChanges(): ExclusionChange[] {
    return this.#pool.takeExclusionChanges();
  }

  /** See {@link ServerPool.excludedByCause}. */
  get excludedByCause(): ReadonlyMap<ExclusionCause, number> {
    return this.#pool.excludedByCause;
  }

  /** Transfers between data centres, and the plan for them. */
  get dataCentres(): DataCentreSelection {
    return this.#pool.dataCentres;
  }

  /** Whether that plan decides; see {@link ServerPool.isBalanced}. */
  get isBalanced(): boolean {
    return this.#pool.isBalanced;
  }

  /** Versions and the roll-out of the service. */
  get rollout(): ServiceRollout {
    return this.#pool.rollout;
  }

  /** Queues a request, or refuses it at once. */
  submit(request: GrantRequest, now: number): GrantDecision | undefined {
    // A request for which every server has been tried would be refused in the
    // end anyway, only later.
    if (!this.#pool.hasUntriedServer(request)) {
      return this.#refusal(request, "no_server", now);
    }
    if (this.#pool.exceedsMemory(request)) {
      return this.#refusal(request, "too_large", now);
    }
    if (!this.#pool.hasServerBeforeExpiry(request)) {
      return this.#refusal(request, "overload", now);
    }
    const queued = this.#queuedRequest(request, now);
    const runTime = this.#pool.expectedRunTime(request, now);
    this.#demand.recordArrival(queued.key, runTime, now);
    if (this.#pool.isBalanced) {
      this.#pool.dataCentres.observe(request, queued, runTime, now);
    }
    this.#recordFirstArrival(queued, runTime, now);
    if (this.#hasNoChance(queued, now)) {
      const { standing } = queued;
      return this.#refusal(request, "no_capacity", now, standing);
    }
    this.#queue.push(queued);
    return undefined;
  }

  /** Removes a request; returns true if it had a grant, which was not used. */
  withdraw(id: string): boolean {
    const queued = this.#queue.remove(id);
    if (queued !== undefined) this.#releaseWaiting(queued);
    const granted = this.#granted.get(id);
    if (granted === undefined) return false;
    this.#granted.remove(id);
    this.#pool.release(granted);
    return true;
  }

  /** Counts a run that another entry has granted; see {@link ServerPool.adopt}. */
  adopt(
    request: GrantRequest,
    server: string,
    now: number,
    address?: string,
  ): void {
    if (this.#granted.has(request.id)) return;
    const verdict = this.#suspects.verdictOf(fingerprintsOf(request), now);
    const granted = { request, server, ...suspicionOf(verdict) };
    this.#pool.adopt(granted, address);
    this.#granted.add(granted);
  }

  /**
   * Records the load that the server of a granted request has reported with its
   * response. Must be called before the latter is recorded.
   */
  recordServerLoad(id: string, report: LoadReport): void {
    const granted = this.#granted.get(id);
    if (granted !== undefined) this.#pool.recordServerLoad(granted, report);
  }

  /** See {@link ServerPool.reportedLoads}. */
  reportedLoads(): ReturnType<ServerPool["reportedLoads"]> {
    return this.#pool.reportedLoads();
  }

  /** Records that the response started `latency` milliseconds after sending. */
  recordResponseStart(id: string, latency: number, now: number): void {
    const granted = this.#granted.get(id);
    if (granted !== undefined) {
      this.#pool.recordResponseStart(granted, latency, now);
    }
  }

  /**
   * Records how fast a response came after its first token. Must be called
   * before {@link ServiceScheduler.recordEnd}.
   */
  recordStreamTiming(id: string, timing: StreamTiming, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined || timing.tokens <= 0) return;
    this.#pool.recordStreamTiming(granted, timing, now);
  }

  /**
   * Records that the server of a granted request wants no further requests of
   * the same entry for `duration` milliseconds. Must be called before
   * {@link ServiceScheduler.recordEnd} or {@link ServiceScheduler.withdraw}.
   */
  recordRequestedBackoff(id: string, duration: number, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#pool.recordRequestedBackoff(granted, now + duration);
  }

  /**
   * Records how the run of a granted request ended. Returns the crash of its
   * server if this is the first report of it.
   */
  recordEnd(
    id: string,
    outcome: RunOutcome,
    now: number,
  ): DetectedCrash | undefined {
    const granted = this.#granted.get(id);
    if (granted === undefined) return undefined;
    const crash = outcome === "crashed"
      ? this.#pool.recordCrash(granted, now)
      : this.#pool.recordInterruption(granted, outcome, now);
    if (crash !== undefined) this.#suspects.recordServerCrash(crash, now);
    this.#granted.remove(id);
    this.#pool.recordEnd(granted, outcome, now);
    return crash;
  }

  /** Removes all requests of an entry, which has disconnected. */
  removeEntry(entry: string): void {
    for (const queued of [...this.#queue]) {
      const { request } = queued;
      if (request.entry !== entry) continue;
      this.#queue.remove(request.id);
      this.#releaseWaiting(queued);
    }
    this.#granted.removeEntry(entry);
    this.#pool.removeEntry(entry);
  }

  /** Makes all decisions that are possible now. */
  decide(now: number): GrantDecision[] {
    this.#pool.rollout.update(now);
    const decisions = now >= this.#queue.nextStandingEnd
      ? this.#updateStandings(now)
      : [];
    if (this.#queue.size === 0) return decisions;
    const meanRunTime = this.#demand.meanRunTime(now);
    this.#pool.adaptStartLimit(meanRunTime);
    this.#pool.updateBalance(meanRunTime, now);
    if (this.#pool.hasFreeSlot(now)) this.#grantWaiting(decisions, now);
    return decisions;
  }

  /**
   * Grants waiting requests in one pass over the queue, which is enough: free
   * slots and quotas only decrease during it.
   */
  #grantWaiting(decisions: GrantDecision[], now: number): void {
    const { slots, dividesGrants } = this.#pool;
    this.#organisationShares.setSlots(dividesGrants ? slots : undefined);
    const snapshot = this.#pool.snapshot(now);
    let passedOver = 0;
    let hasVisitedAll = true;
    const blocked = new BlockedRequests(this.#pool, snapshot, now);
    this.#queue.visit((queued) => {
      const { request } = queued;
      if (snapshot.free.size === 0) return "stop";
      if (
        passedOver >= MAXIMUM_PASSED_OVER || this.#endsWithKept(snapshot)
      ) {
        hasVisitedAll = false;
        return "stop";
      }
      const verdict = this.#suspects.verdictOf(fingerprintsOf(request), now);
      if (verdict.kind === "quarantined") {
        const { standing } = queued;
        decisions.push(this.#refusal(request, "quarantined", now, standing));
        return "taken";
      }
      if (
        snapshot.kept.followsOthers(request) &&
        !this.#hasFreeServerAtHome(request, snapshot, now)
      ) {
        snapshot.kept.add(request);
        return "blocked";
      }
      if (this.#pool.exceedsMemory(request)) {
        const { standing } = queued;
        decisions.push(this.#refusal(request, "too_large", now, standing));
        return "taken";
      }
      if (this.#isInDoubt(request, now)) return "blocked";
      if (blocked.includes(request)) return "blocked";
      if (!this.#quotaReservations.allows(request, now)) return "blocked";
      const server = this.#selectServer(queued, verdict, snapshot, now);
      if (server === undefined) {
        this.#quotaReservations.release(request);
        if (snapshot.kept.has(request)) return "blocked";
        if (verdict.kind === "suspect") return "blocked";
        if (this.#pool.reserveIfLackingMemory(request, snapshot, now)) {
          blocked.addLackingMemory(request);
          return "blocked";
        }
        if (blocked.update(request)) return "blocked";
        passedOver++;
        return "no_server";
      }
      snapshot.kept.remove(request);
      this.#sizeClassCounter.countGrant(queued.requestClass);
      this.#sizeFairness.recordGrant(queued.requestClass);
      this.#routeFairness.recordGrant(request);
      const weight = this.#quotas.weightOf(request.organisation);
      this.#organisationShares.recordGrant(request, weight);
      const granted = { request, server, ...suspicionOf(verdict) };
      decisions.push(this.#grant(granted, snapshot, now));
      return "taken";
    });
    if (hasVisitedAll) this.#pool.endUnusedReservation(snapshot);
  }

  #hasFreeServerAtHome(
    { entry, dataCentre }: GrantRequest,
    snapshot: PoolSnapshot,
    now: number,
  ): boolean {
    const atHome = { entry, allowedDataCentres: [dataCentre] };
    return this.#pool.hasServerFor(atHome, snapshot, now);
  }

  /** Whether a pass ends as its other requests wait for their data centres. */
  #endsWithKept({ kept, free }: PoolSnapshot): boolean {
    if (kept.size === 0 || kept.size % MAXIMUM_KEPT > 0) return false;
    if (kept.size >= MAXIMUM_KEPT_BEFORE_OTHERS) return true;
    for (const { record: { dataCentre } } of free.values()) {
      const others = this.#queue.waitingIn(dataCentre) -
        kept.countIn(dataCentre);
      if (others > 0) return false;
    }
    return true;
  }

  /**
   * Whether so many servers have crashed under a request, or are silent since
   * they ran it, that it waits until one of them responds or starts again.
   */
  #isInDoubt(request: GrantRequest, now: number): boolean {
    return fingerprintsOf(request).some((fingerprint) => {
      const unresolved = this.#pool.countUnresolved(fingerprint, now);
      if (unresolved === 0) return false;
      const { crashes, completeRuns } = this.#suspects
        .evidence(fingerprint, now);
      return completeRuns === 0 && crashes + unresolved >= EXPOSURE_LIMIT;
    });
  }

  /** Ends the reservations that a request holds while it waits. */
  #releaseReservations(request: GrantRequest): void {
    this.#quotaReservations.release(request);
    this.#pool.releaseReservation(request);
  }

  /** A suspect waits while another request with a suspect fingerprint runs. */
  #selectServer(
    queued: QueuedRequest,
    verdict: SuspectVerdict,
    snapshot: PoolSnapshot,
    now: number,
  ): string | undefined {
    const { request } = queued;
    if (this.#granted.isRunning(suspectsOf(verdict))) return undefined;
    const crashesOf = (fingerprints: readonly string[]) =>
      crashesIn(this.#suspects.verdictOf(fingerprints, now));
    return this.#pool
      .selectServer(request, snapshot, verdict, crashesOf, now, queued);
  }

  #grant(
    granted: GrantedRequest,
    snapshot: PoolSnapshot,
    now: number,
  ): GrantDecision {
    const { request, server } = granted;
    this.#releaseReservations(request);
    this.#quotas.charge(request.organisation, request.charge, now);
    this.#appointments.recordGrant(request.fingerprint);
    this.#granted.add(granted);
    this.#pool.recordStart(granted, snapshot, now);
    this.#demand.recordGrant(now);
    return { kind: "grant", request, server };
  }

  #queuedRequest(request: GrantRequest, now: number): QueuedRequest {
    const { cost, expiresAt } = request;
    const priorityClass = priorityClassOf(request);
    const isAppointed = this.#pool.givesAppointments &&
      this.#appointments.keep(request.fingerprint, now);
    const isRetry = this.#retryingCallers.takeRetry(request.fingerprint, now) ||
      isAppointed;
    const hasWaited = now - request.arrived >= MINIMUM_PRIOR_WAIT;
    if (!isRetry) this.#routeFairness.recordRequest(request, hasWaited);
    const requestClass = this.#sizeFairness.classify(priorityClass, cost, {
      isRetry,
      hasWaited,
    });
    if (!isRetry) this.#sizeClassCounter.countRequest(requestClass);
    const value = this.#responseValue.observe(priorityClass, cost);
    const latestStart = request.latencyGoalAt -
      this.#pool.expectedFirstTokenTime(request, now);
    const isTimely = latestStart > now;
    const standing = isAppointed
      ? "appointed"
      : isRetry
      ? "returned"
      : isTimely
      ? "timely"
      : "late";
    const standingEndsAt = standing === "timely" ? latestStart : expiresAt;
    return new QueuedRequest(request, {
      standing,
      standingEndsAt,
      value,
      requestClass,
    });
  }

  /**
   * Refuses expired requests, and demotes or refuses those that have become
   * late.
   */
  #updateStandings(now: number): GrantDecision[] {
    const decisions: GrantDecision[] = [];
    for (const queued of this.#queue.removeDue(now)) {
      const { request } = queued;
      if (request.expiresAt <= now) {
        const reason = this.#expiryReason(request, now);
        decisions.push(this.#refusal(request, reason, now, queued.standing));
        continue;
      }
      this.#demoteOrRefuse(queued, now, decisions);
    }
    return decisions;
  }

  #expiryReason(request: GrantRequest, now: number): GrantRefusalReason {
    const allowed = this.#quotas.allows(
      request.organisation,
      request.charge,
      now,
    );
    return allowed ? "expired" : "quota";
  }

  #demoteOrRefuse(
    queued: QueuedRequest,
    now: number,
    decisions: GrantDecision[],
  ): void {
    const { request, value, requestClass } = queued;
    const late = new QueuedRequest(request, {
      standing: "late",
      standingEndsAt: request.expiresAt,
      value,
      requestClass,
    });
    // Shortly after its start this process is slow itself, which raises the
    // expected times. These must not cause refusals while a slot is free.
    if (!this.#pool.hasFreeSlot(now) && this.#exceedsCapacity(late.key, now)) {
      const { standing } = queued;
      decisions.push(this.#refusal(request, "overload", now, standing));
      return;
    }
    this.#queue.push(late);
  }

  #exceedsCapacity(key: number, now: number): boolean {
    const slots = this.#pool.usableSlots(this.#demand.meanRunTime(now), now);
    return this.#demand.exceedsCapacity(key, slots, now);
  }

  #refusal(
    request: GrantRequest,
    reason: GrantRefusalReason,
    now: number,
    standing?: RequestStanding,
  ): GrantDecision {
    this.#retryingCallers.recordRefusal(request.fingerprint, now);
    this.#releaseReservations(request);
    const inputs = { ...this.refusalInputs(request, now), standing };
    const planned = this.#planReturn(request, { reason, standing }, now);
    if (planned === undefined) {
      this.#appointments.release(request.fingerprint);
      const delay = this.#delayWithoutForecast(request, reason, now);
      return { kind: "refuse", request, reason, retryAfter: delay, inputs };
    }
    const { appointment } = planned;
    return {
      kind: "refuse",
      request,
      reason: reasonFor(reason, appointment),
      retryAfter: appointment === undefined
        ? maximumDelay(request, now)
        : appointment.at - now,
      inputs: { ...inputs, ...planned },
    };
  }

  /**
   * A service without any server has one again after a restart at the earliest,
   * which takes longer than the delay for want of an untried server.
   */
  #delayWithoutForecast(
    request: GrantRequest,
    reason: GrantRefusalReason,
    now: number,
  ): number {
    const isDown = this.#pool.givesAppointments && this.#pool.size === 0;
    return retryAfter(request, isDown ? "overload" : reason, now);
  }

  /** See {@link AppointmentPlanner.plan}. */
  #planReturn(
    request: GrantRequest,
    { reason, standing }: {
      reason: GrantRefusalReason;
      standing: RequestStanding | undefined;
    },
    now: number,
  ): PlannedReturn | undefined {
    if (!this.#pool.givesAppointments || !PLANNED_REASONS.has(reason)) {
      return undefined;
    }
    const priorityClass = priorityClassOf(request);
    const value = this.#responseValue.valueOf(priorityClass, request.cost);
    const { fingerprint, organisation, jitter } = request;
    return this.#appointments.plan(
      {
        fingerprint,
        organisation,
        jitter,
        key: priorityKey(request, "appointed", value),
        runTime: this.#pool.expectedRunTime(request, now),
        maximumDelay: maximumDelay(request, now),
        isFinal: standing === "returned" || standing === "appointed",
      },
      () => this.#capacityInputs(now),
      now,
    );
  }

  #capacityInputs(now: number): CapacityInputs {
    const runTime = this.#demand.meanRunTime(now);
    const waiting = [...this.#queue]
      .filter(({ standing }) => standing !== "appointed")
      .map(({ key, request }) => ({
        key,
        runTime: this.#pool.expectedRunTime(request, now),
      }));
    return {
      slots: this.#pool.usableSlots(runTime, now),
      running: this.#granted.size,
      runTime,
      waiting,
    };
  }

  /**
   * Whether more urgent requests take all capacity that it could use. Routes and
   * size classes that are owed a grant keep their guaranteed shares.
   */
  #hasNoChance(
    { key, standing, request, requestClass }: QueuedRequest,
    now: number,
  ): boolean {
    if (!this.#pool.givesAppointments || standing !== "timely") return false;
    if (this.#pool.hasFreeSlot(now)) return false;
    // An organisation without waiting requests uses less than its share.
    if (!this.#organisationShares.isWaiting(request)) return false;
    this.#appointments.refresh(() => this.#capacityInputs(now), now);
    if (!this.#appointments.isExcluded(key)) return false;
    const { tierRank, routeRank } = request;
    const { priorityClass, sizeClass } = requestClass;
    return !this.#routeFairness.owedRoutes(tierRank).includes(routeRank) &&
      this.#sizeFairness.owedClass(priorityClass) !== sizeClass;
  }

  #recordFirstArrival(
    { key, standing }: QueuedRequest,
    runTime: number,
    now: number,
  ): void {
    if (!this.#pool.givesAppointments) return;
    if (standing === "appointed" || standing === "returned") return;
    this.#appointments.recordArrival(key, runTime, now);
  }

  /** Releases what is held for a request that has stopped waiting. */
  #releaseWaiting({ request }: QueuedRequest): void {
    this.#releaseReservations(request);
    this.#appointments.release(request.fingerprint);
  }

  /** Merges an appointment that another granting entry has given. */
  mergeAppointment(appointment: Appointment): void {
    this.#appointments.merge(appointment);
  }

  /** See {@link AppointmentPlanner.takeCounts}. */
  takeAppointmentCounts(): AppointmentCounts {
    return this.#appointments.takeCounts();
  }

  /** Milliseconds since the inputs of the forecast were read. */
  forecastAge(now: number): number {
    return this.#appointments.forecastAge(now);
  }

  /** Returns the state that a refusal of the request is based on. */
  refusalInputs(request: GrantRequest, now: number): RefusalInputs {
    const { organisation, charge } = request;
    return {
      free: this.#pool.freeSlots,
      waiting: this.#queue.size,
      quotaWait: this.#quotas.waitFor(organisation, charge, now),
    };
  }
}

/** The last start at each address, by incarnation. */
export function startsOf(
  records: readonly ServerRecord[],
): ReadonlyMap<string, string> {
  return new Map(
    [...newestByAddress(records)]
      .map(([address, record]) => [address, incarnationOf(record)]),
  );
}

/** What a run is suspected for at its start. */
function suspicionOf(
  verdict: SuspectVerdict,
): Omit<GrantedRequest, "request" | "server"> {
  const isRestricted = verdict.kind === "suspect" && !verdict.hasCompleted;
  const crashes = crashesIn(verdict);
  return { suspects: suspectsOf(verdict), isRestricted, crashes };
}

function suspectsOf(verdict: SuspectVerdict): readonly string[] {
  return verdict.kind === "suspect" ? verdict.fingerprints : [];
}

/** The reason of a refusal for want of capacity, for the log. */
function reasonFor(
  reason: GrantRefusalReason,
  appointment: Appointment | undefined,
): GrantRefusalReason {
  if (appointment === undefined) return "no_capacity";
  return reason === "no_capacity" ? "overload" : reason;
}

function crashesIn(verdict: SuspectVerdict): number {
  return verdict.kind === "suspect" ? verdict.crashes : 0;
}

/**
 * The backend servers of one service: what each one runs, how fast it is,
 * whether it is ejected, and which one a request is sent to.
 * @module
 */
import { incarnationOf } from "../discovery/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import { OutlierEjection } from "../ejection/mod.ts";
import type { ExclusionCause, ExclusionChange } from "../ejection/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import { ServiceRollout } from "../rollouts/mod.ts";
import type { ComparedRun } from "../rollouts/mod.ts";
import { ServerLimits, StartLimit } from "../server_limits/mod.ts";
import type { StartLimitScope } from "../server_limits/mod.ts";
import { ISOLATED_FROM } from "../suspects/mod.ts";
import type { LoadReport } from "../server_load/mod.ts";
import type { SuspectVerdict } from "../suspects/mod.ts";
import type { ServerOffers } from "../balance/mod.ts";
import { CrashDetection } from "./crash_detection.ts";
import type { DetectedCrash } from "./crash_detection.ts";
import { fingerprintsOf, isInterrupted, mayRunIn } from "./grant_request.ts";
import type { GrantRequest, RunOutcome } from "./grant_request.ts";
import {
  LatencyRatio,
  nominalDecodeTime,
  nominalFirstTokenTime,
} from "./latency_ratio.ts";
import { DataCentreSelection, KeptRequests } from "./data_centre_selection.ts";
import type { RequestWorth } from "./data_centre_selection.ts";
import { DEFAULT_DRAIN_TIME, DepartedServers } from "./departed_servers.ts";
import { PooledServer } from "./pooled_server.ts";
import type { SuspectRestriction } from "./suspect_exposure.ts";
import { DEFAULT_SCHEDULING } from "./scheduling_options.ts";
import type { SchedulingOptions } from "./scheduling_options.ts";
import { selectServer } from "./server_selection.ts";
import type { PoolSnapshot, SelectionInputs } from "./server_selection.ts";
import { ServerMemory } from "./server_memory.ts";
import { slowServersFor } from "./slow_servers.ts";
import type { ServerRuns } from "./server_runs.ts";
import type {
  ServiceLatencyRatios,
  StreamTiming,
  UsageBounds,
} from "./pooled_server.ts";

/** Outcomes of runs to which the server responded. */
const RESPONSE_OUTCOMES: ReadonlySet<RunOutcome> = new Set<RunOutcome>([
  "answered",
  "failed",
  "not_run",
]);

/** A granted request and its server. */
export type GrantedRequest = {
  request: GrantRequest;
  server: string;
  /** Its fingerprints that were suspects when it was granted. */
  suspects: readonly string[];
  /** See {@link SuspectExposure}: a suspect that has not completed lately. */
  isRestricted: boolean;
  /** Crashes that it was suspected for. */
  crashes: number;
};

/** What a pool depends on besides its servers. */
export type PoolOptions = {
  /** See {@link DepartedServers}. */
  drainTime?: number;
  /** See {@link StartLimit}. */
  startedAt?: number;
};

/** The servers of one service, by incarnation. */
export class ServerPool {
  /** Which versions may be sent requests. */
  readonly rollout = new ServiceRollout();
  readonly #servers = new Map<string, PooledServer>();
  readonly #departed: DepartedServers;
  readonly #crashes: CrashDetection;
  /** Which requests leave their data centre. */
  readonly dataCentres = new DataCentreSelection();
  readonly #ejection = new OutlierEjection();
  readonly #firstTokenRatio = new LatencyRatio();
  readonly #decodeRatio = new LatencyRatio();
  readonly #limits: ServerLimits;
  readonly #startLimit: StartLimit;
  readonly #memory = new ServerMemory();
  #fractions: GroupFractions = { room: 1, quota: 1 };
  #scheduling = DEFAULT_SCHEDULING;
  #reportsPace = false;
  #memoryTokens: number | undefined;

  /**
   * `limits` holds the rates that servers accept; no limits if absent.
   */
  constructor(
    limits = new ServerLimits(),
    { drainTime = DEFAULT_DRAIN_TIME, startedAt }: PoolOptions = {},
  ) {
    this.#limits = limits;
    this.#startLimit = new StartLimit(startedAt);
    this.#departed = new DepartedServers(drainTime);
    this.#crashes = new CrashDetection({
      runsOf: (name) => this.#runsOf(name),
      addressOf: (name) =>
        this.#servers.get(name)?.address ?? this.#departed.addressOf(name),
    }, this.#departed);
  }

  get size(): number {
    return this.#servers.size;
  }

  /** Slots of all servers together. */
  get slots(): number {
    let slots = 0;
    for (const server of this.#servers.values()) slots += server.record.slots;
    return slots;
  }

  /** Free slots, including those of servers that may be unreachable. */
  get freeSlots(): number {
    let running = 0;
    for (const server of this.#servers.values()) running += server.running;
    return Math.max(0, this.slots - running);
  }

  /**
   * Slots that this group of entries can use. `runTime` is the mean run time of
   * a request in milliseconds.
   */
  usableSlots(runTime: number, now: number): number {
    let slots = 0;
    for (const [name, server] of this.#servers) {
      slots += server.usableSlots(this.#bounds(name), runTime, now) *
        this.rollout.usablePart(server.record);
    }
    return slots;
  }

  /** True if any server can run another request. */
  hasFreeSlot(now: number): boolean {
    const preference = this.rollout.preference(now);
    for (const [name, server] of this.#servers) {
      if (!this.rollout.isAllowed(server.record, preference)) continue;
      if (this.#isDraining(name, server)) continue;
      if (server.hasFreeSlot(this.#bounds(name), now)) return true;
    }
    return false;
  }

  /**
   * Replaces the set of servers that may be sent requests. `starts`: the last
   * start at each address, by incarnation. Returns the crashes that they show.
   */
  setServers(
    records: readonly ServerRecord[],
    starts: ReadonlyMap<string, string>,
    now: number,
  ): DetectedCrash[] {
    const keep = new Set(records.map(incarnationOf));
    for (const [name, server] of [...this.#servers]) {
      if (!keep.has(name)) this.#depart(name, server, now);
    }
    for (const record of records) {
      const name = incarnationOf(record);
      const server = this.#servers.get(name);
      if (server === undefined) this.#enter(name, record, now);
      else server.record = record;
    }
    this.rollout.setServers(records, now);
    this.dataCentres.invalidate();
    return this.#crashes.setStarts(starts, now);
  }

  #depart(name: string, server: PooledServer, now: number): void {
    this.#servers.delete(name);
    this.#memory.releaseServer(name);
    if (server.running > 0) this.#departed.add(name, server, now);
    else this.#ejection.remove(name);
  }

  #enter(name: string, record: ServerRecord, now: number): void {
    const { server, runs } = this.#departed.take(name);
    if (server === undefined) {
      this.#servers.set(name, new PooledServer(record, now, runs));
      this.#ejection.add(name);
      return;
    }
    server.record = record;
    this.#servers.set(name, server);
  }

  /** What a server runs, also if it is not in the pool any more. */
  #runsOf(name: string): ServerRuns | undefined {
    return this.#servers.get(name)?.runs ?? this.#departed.runsOf(name);
  }

  /** Removes a run, and a departed server with its last one. */
  #removeRun(name: string, id: string): void {
    this.#runsOf(name)?.remove(id);
    if (this.#departed.removeIfIdle(name)) this.#ejection.remove(name);
  }

  /**
   * Sets the fractions of each server's slots and rate limit that this group
   * uses.
   */
  setFractions(fractions: GroupFractions): void {
    this.#fractions = fractions;
    this.#memory.setFraction(fractions.room);
    this.rollout.setFraction(fractions.room);
    if (fractions.quota > 0) return;
    for (const server of this.#servers.values()) server.resetLimiters();
  }

  setScheduling(options: SchedulingOptions): void {
    this.#scheduling = options;
    this.#updateMemory();
  }

  /** Records that a server reports how long work takes on its machine. */
  recordPaceReport(): void {
    this.#reportsPace = true;
    this.#updateMemory();
  }

  /** Records the load that the server of a run has reported. */
  recordServerLoad({ server: name }: GrantedRequest, report: LoadReport): void {
    const server = this.#servers.get(name);
    server?.speed.observeLoad(report, server.running);
    if (report.load.pace !== undefined) this.recordPaceReport();
  }

  /** Last reports of servers that have reported their load, for metrics. */
  *reportedLoads(): Generator<{ server: string; report: LoadReport }> {
    for (const [server, { speed: { lastReport: report } }] of this.#servers) {
      if (report !== undefined) yield { server, report };
    }
  }

  /** Whether refused callers get appointments. */
  get givesAppointments(): boolean {
    return this.isAdaptive && this.#scheduling.appointments === true;
  }

  /** Whether grants are divided between organisations. */
  get dividesGrants(): boolean {
    return this.isAdaptive && this.#scheduling.organisationShares !== false;
  }

  /** Whether the decisions for uneven load apply; see {@link AdaptiveMode}. */
  get isAdaptive(): boolean {
    const { adaptive } = this.#scheduling;
    return adaptive === "on" || (adaptive === "reported" && this.#reportsPace);
  }

  /** Whether the balance decides which requests leave their data centre. */
  get isBalanced(): boolean {
    return this.isAdaptive && this.#scheduling.transferPrice !== undefined;
  }

  /** Plans the balance between data centres anew, if it is time to do so. */
  updateBalance(meanRunTime: number, now: number): void {
    const { transferPrice } = this.#scheduling;
    if (transferPrice === undefined || !this.isAdaptive) return;
    if (!this.dataCentres.isDue(now)) return;
    const capacities = this.#usableSlotsByDataCentre(meanRunTime, now);
    const inputs = { capacities, meanRunTime, transferPrice };
    this.dataCentres.update(inputs, now);
  }

  /** Usable slots, as slots of a server of average speed. */
  #usableSlotsByDataCentre(runTime: number, now: number): Map<string, number> {
    const ratios = this.#latencyRatios(now);
    const slots = new Map<string, number>();
    for (const [name, server] of this.#servers) {
      const { dataCentre } = server.record;
      const usable = this.#ejection.allowed(name, now)
        ? server.usableSlots(this.#bounds(name), runTime, now) *
          this.rollout.usablePart(server.record) *
          server.relativeSpeed(ratios, now)
        : 0;
      slots.set(dataCentre, (slots.get(dataCentre) ?? 0) + usable);
    }
    return slots;
  }

  get startLimitScope(): StartLimitScope | undefined {
    return this.#startLimit.scope;
  }

  /** Sets the requests that a server accepts in a second while it is cold. */
  setStartLimit(accepted: number | undefined): void {
    this.#startLimit.set(accepted);
  }

  /** Sets the tokens that a server holds at a time; no limit if `undefined`. */
  setMemoryTokens(tokens: number | undefined): void {
    this.#memoryTokens = tokens;
    this.#updateMemory();
  }

  /** The limit applies only while the service is adaptive. */
  #updateMemory(): void {
    this.#memory.setCapacity(this.isAdaptive ? this.#memoryTokens : undefined);
  }

  /** See {@link ServerMemory.isExceededBy}. */
  exceedsMemory(request: GrantRequest): boolean {
    return this.#memory.isExceededBy(request);
  }

  /** See {@link ServerMemory.isReservedFor}. */
  hasReservation(request: GrantRequest): boolean {
    return this.#memory.isReservedFor(request);
  }

  /** Ends the reservation of memory for a request, if it has one. */
  releaseReservation(request: Pick<GrantRequest, "id">): void {
    this.#memory.release(request);
  }

  /**
   * True if a request finds no server because those that are free lack memory.
   * Reserves a server for it if it has waited for long.
   */
  reserveIfLackingMemory(
    request: GrantRequest,
    snapshot: PoolSnapshot,
    now: number,
  ): boolean {
    let lacksMemory = false;
    for (const [name, server] of snapshot.free) {
      if (!this.#mayUse(request, name, server, now)) continue;
      if (this.#hasMemoryFor(request, name, server)) return false;
      lacksMemory = true;
    }
    if (lacksMemory && this.#memory.isDue(request, now)) {
      this.#reserveMemory(request, snapshot, now);
    }
    return lacksMemory;
  }

  /** Ends the reservation of a server that its request did not use in a pass. */
  endUnusedReservation({ free }: PoolSnapshot): void {
    for (const [name, server] of free) {
      if (!this.#isDraining(name, server)) this.#memory.releaseServer(name);
    }
  }

  #isDraining(name: string, { runs }: PooledServer): boolean {
    return this.#memory.isDraining(name, runs.memoryTokens);
  }

  /** Reserves the server with the most free memory that the request may use. */
  #reserveMemory(
    request: GrantRequest,
    snapshot: PoolSnapshot,
    now: number,
  ): void {
    const preference = this.rollout.preference(now);
    let best: string | undefined;
    let mostFree = -Infinity;
    for (const [name, server] of this.#servers) {
      if (!this.#mayUse(request, name, server, now)) continue;
      if (!server.suits(request, snapshot, now)) continue;
      if (!this.rollout.isAllowed(server.record, preference)) continue;
      const freeTokens = this.#memory.freeTokens(server.runs.memoryTokens);
      if (freeTokens <= mostFree) continue;
      mostFree = freeTokens;
      best = name;
    }
    if (best !== undefined) this.#memory.reserve(request, best);
  }

  #mayUse(
    request: GrantRequest,
    name: string,
    server: PooledServer,
    now: number,
  ): boolean {
    return !request.excludedServers.includes(name) &&
      this.#ejection.allowed(name, now) &&
      mayRunIn(request, server.record.dataCentre) &&
      server.isAvailableTo(request.entry, now);
  }

  #hasMemoryFor(
    request: GrantRequest,
    name: string,
    { runs }: PooledServer,
  ): boolean {
    return this.#memory.admits(request, name, runs.memoryTokens);
  }

  /** See {@link StartLimit.adapt}. */
  adaptStartLimit(runTime: number): void {
    this.#startLimit.adapt(this.slots / Math.max(1, this.size), runTime);
  }

  snapshot(now: number): PoolSnapshot {
    let largestPrefillLimit = 0;
    const free = new Map<string, PooledServer>();
    const { isAdaptive } = this;
    const preference = this.rollout.preference(now);
    for (const [name, server] of this.#servers) {
      if (!this.rollout.isAllowed(server.record, preference)) continue;
      const prefillLimit = server.prefillLimit(isAdaptive, now);
      largestPrefillLimit = Math.max(largestPrefillLimit, prefillLimit);
      // Otherwise each pass would visit all waiting requests for this server.
      if (this.#isDraining(name, server)) continue;
      if (server.hasFreeSlot(this.#bounds(name), now)) {
        free.set(name, server);
      }
    }
    return {
      latencyRatios: this.#latencyRatios(now),
      largestPrefillLimit,
      isAdaptive,
      free,
      room: this.#fractions.room,
      kept: new KeptRequests(),
    };
  }

  /** True if any free server may be sent requests of this kind now. */
  hasServerFor(
    request: Pick<GrantRequest, "entry" | "allowedDataCentres">,
    { free }: PoolSnapshot,
    now: number,
  ): boolean {
    for (const [name, server] of free) {
      if (this.#memory.isReservedForOthers(name, {})) continue;
      if (!mayRunIn(request, server.record.dataCentre)) continue;
      if (server.isAvailableTo(request.entry, now)) return true;
    }
    return false;
  }

  /** True if a server is left that may run the request. */
  hasUntriedServer(request: GrantRequest): boolean {
    for (const [name, { record }] of this.#servers) {
      if (request.excludedServers.includes(name)) continue;
      if (!this.rollout.isEligible(record)) continue;
      if (mayRunIn(request, record.dataCentre)) return true;
    }
    return false;
  }

  /**
   * True if a server that was not tried for the request accepts requests of its
   * entry, now or before the request expires.
   */
  hasServerBeforeExpiry(request: GrantRequest): boolean {
    const { entry, excludedServers, expiresAt } = request;
    for (const [name, server] of this.#servers) {
      if (!mayRunIn(request, server.record.dataCentre)) continue;
      if (server.requestedBackoffEnd(entry) > expiresAt) continue;
      if (!this.rollout.isEligible(server.record)) continue;
      if (!excludedServers.includes(name)) return true;
    }
    return false;
  }

  /** Records that a server wants no requests of an entry until `until`. */
  recordRequestedBackoff(
    { request, server }: GrantedRequest,
    until: number,
  ): void {
    this.#servers.get(server)?.recordRequestedBackoff(request.entry, until);
  }

  /** See {@link selectServer}; ejected servers are left out. */
  selectServer(
    request: GrantRequest,
    snapshot: PoolSnapshot,
    verdict: SuspectVerdict,
    crashesOf: (fingerprints: readonly string[]) => number,
    now: number,
    worth?: RequestWorth,
  ): string | undefined {
    const inputs = {
      chooseDataCentre: worth && this.isBalanced
        ? (offers: ServerOffers) =>
          this.#chooseDataCentre(request, worth, offers, snapshot, now)
        : undefined,
      snapshot,
      verdict,
      crashesOf,
      unresolvedRuns: (name: string) => this.#crashes.unresolvedRuns(name, now),
      isSilent: (name: string, server: PooledServer) =>
        this.#isSilent(name, server, now),
      restriction: this.#suspectRestriction(verdict, now),
      now,
    };
    const preference = this.rollout.preference(now);
    for (const standings of preference ?? [undefined]) {
      const allowed = standings && [standings];
      const server = selectServer(request, {
        ...inputs,
        isAllowed: (name, pooled) =>
          this.#hasMemoryFor(request, name, pooled) &&
          this.#ejection.allowed(name, now) &&
          this.rollout.isAllowed(pooled.record, allowed),
      });
      if (server !== undefined) return server;
    }
    return this.#selectSlowServer(request, inputs, preference, now);
  }

  /**
   * Selects among the servers that are excluded for slowness alone, where the
   * decisions for uneven load apply; see {@link slowServersFor}.
   */
  #selectSlowServer(
    request: GrantRequest,
    inputs: Omit<SelectionInputs, "isAllowed">,
    preference: ReturnType<ServiceRollout["preference"]>,
    now: number,
  ): string | undefined {
    if (!this.isAdaptive || this.#ejection.excluded.size === 0) {
      return undefined;
    }
    const { snapshot } = inputs;
    const free = slowServersFor(request, snapshot, this.#ejection, now);
    if (free.size === 0) return undefined;
    for (const standings of preference ?? [undefined]) {
      const allowed = standings && [standings];
      const server = selectServer(request, {
        ...inputs,
        snapshot: { ...snapshot, free },
        isAllowed: (name, pooled) =>
          this.#hasMemoryFor(request, name, pooled) &&
          this.rollout.isAllowed(pooled.record, allowed),
      });
      if (server !== undefined) return server;
    }
    return undefined;
  }

  /** Returns the servers that were excluded or readmitted since the last call. */
  takeExclusionChanges(): ExclusionChange[] {
    return this.#ejection.takeChanges();
  }

  /** Number of excluded servers by cause. */
  get excludedByCause(): ReadonlyMap<ExclusionCause, number> {
    return this.#ejection.countByCause();
  }

  #chooseDataCentre(
    request: GrantRequest,
    worth: RequestWorth,
    offers: ServerOffers,
    { kept }: PoolSnapshot,
    now: number,
  ): string | undefined {
    const timesOf = () => ({
      firstToken: this.expectedFirstTokenTime(request, now),
      run: this.expectedRunTime(request, now),
    });
    return this.dataCentres
      .choose(request, worth, offers, kept, timesOf, now);
  }

  recordStart(
    { request, server: name, suspects, isRestricted, crashes }: GrantedRequest,
    snapshot: PoolSnapshot,
    now: number,
  ): void {
    const server = this.#servers.get(name);
    const isConclusive = server !== undefined && crashes >= ISOLATED_FROM &&
      !this.#isSilent(name, server, now);
    server?.runs.add(request, {
      suspects,
      isRestricted,
      grantedAt: now,
      isConclusive,
      paceAtGrant: server.speed.reportedPace(now),
    });
    server?.countAgainstLimit(now);
    if (server !== undefined) this.#recordGrant(request, server, now);
    if (
      server === undefined ||
      !server.hasFreeSlot(this.#bounds(name), now)
    ) snapshot.free.delete(name);
    this.#ejection.recordStart(name, now);
  }

  #recordGrant(
    request: GrantRequest,
    { record }: PooledServer,
    now: number,
  ): void {
    this.dataCentres.recordGrant(request, record.dataCentre, now);
    const run = comparedRun(request, record, now);
    this.rollout.recordGrant(request.id, run, now);
  }

  /**
   * Counts a run that another entry has granted, also at a server that is not
   * in the pool: it may crash like any other. `address`: of the server, as
   * `host:port`, if it is known.
   */
  adopt(
    { request, server: name, suspects, isRestricted }: GrantedRequest,
    address: string | undefined,
  ): void {
    const runs = this.#runsOf(name) ??
      this.#departed.addUnknown(name, address);
    const { arrived: grantedAt } = request;
    runs.add(request, {
      suspects,
      isRestricted,
      grantedAt,
      isConclusive: false,
    });
    const record = this.#servers.get(name)?.record;
    if (record === undefined) return;
    this.rollout.adopt(request.id, comparedRun(request, record, grantedAt));
  }

  #recordResponse(name: string, id: string, now: number): void {
    this.#crashes.recordResponse(name, id);
    this.#servers.get(name)?.recordUp(now);
  }

  /** See {@link SuspectExposure.restriction}. */
  #suspectRestriction(
    verdict: SuspectVerdict,
    now: number,
  ): SuspectRestriction | undefined {
    if (verdict.kind !== "suspect" || verdict.hasCompleted) return undefined;
    const { exposure } = this.#crashes;
    if (!exposure.mayRestrict(this.#servers.size)) return undefined;
    const addresses = new Set<string>();
    const running = new Set<string>();
    for (const [name, server] of this.#servers) {
      addresses.add(server.address);
      const unresolved = this.#crashes.unresolvedRuns(name, now);
      if (
        server.runs.areRestricted ||
        unresolved.some(({ isRestricted }) => isRestricted)
      ) running.add(server.address);
    }
    return exposure.restriction(addresses, running, now);
  }

  /** Whether runs of a server have no response yet or ended without one. */
  #isSilent(name: string, { runs }: PooledServer, now: number): boolean {
    return !runs.haveResponded ||
      this.#crashes.unresolvedRuns(name, now).length > 0;
  }

  /** Records that the response started `latency` milliseconds after sending. */
  recordResponseStart(
    { request, server: name }: GrantedRequest,
    latency: number,
    now: number,
  ): void {
    this.#recordResponse(name, request.id, now);
    this.rollout.recordResponseStart(request.id, latency);
    const server = this.#servers.get(name);
    const { isAdaptive } = this;
    const expected = server?.runs.get(request.id) &&
      server.usualFirstTokenTime(request.cost, this.#latencyRatios(now), now);
    const start = server?.recordResponseStart(request.id, latency, now);
    if (start === undefined) return;
    if (server !== undefined && expected !== undefined) {
      const { dataCentre } = server.record;
      const times = { measured: latency, expected };
      this.dataCentres.recordLatency(request, dataCentre, times, now);
    }
    const nominal = nominalFirstTokenTime(start.cost);
    const usualLatency = isAdaptive ? latency / start.pace : latency;
    this.#firstTokenRatio.observe(usualLatency, nominal, now);
    const slowness = usualLatency / nominal;
    this.#ejection.recordSuccess(name, now, slowness, isAdaptive);
  }

  /**
   * Records how fast a response came after its first token. Must be called
   * before {@link ServerPool.recordEnd}.
   */
  recordStreamTiming(
    { request, server }: GrantedRequest,
    timing: StreamTiming,
    now: number,
  ): void {
    const { isAdaptive } = this;
    const pace = this.#servers.get(server)
      ?.recordStreamTiming(request.id, timing, isAdaptive, now) ?? 1;
    this.rollout.recordStreamTiming(request.id, timing);
    const cost = { promptTokens: 1, outputTokens: timing.tokens };
    const usualTime = isAdaptive ? timing.measured / pace : timing.measured;
    this.#decodeRatio.observe(usualTime, nominalDecodeTime(cost), now);
  }

  /**
   * Records that the server of a granted request has crashed. Returns the
   * crash, or `undefined` if it was recorded before.
   */
  recordCrash(
    { server: name }: GrantedRequest,
    now: number,
  ): DetectedCrash | undefined {
    return this.#crashes.recordRefusal(name, now);
  }

  /**
   * Records that a run is about to end. Returns the crash of its server, if the
   * server is known to have started again without it.
   */
  recordInterruption(
    { request, server }: GrantedRequest,
    outcome: RunOutcome,
    now: number,
  ): DetectedCrash | undefined {
    return isInterrupted(outcome)
      ? this.#crashes.recordInterruption(server, request.id, now)
      : undefined;
  }

  /** See {@link CrashDetection.countUnresolved}. */
  countUnresolved(fingerprint: string, now: number): number {
    return this.#crashes.countUnresolved(fingerprint, now);
  }

  /** Removes a run without any effect on the health of its server. */
  release({ request, server }: GrantedRequest): void {
    this.rollout.remove(request.id);
    this.#removeRun(server, request.id);
  }

  /** Removes a run and updates the health of its server by the outcome. */
  recordEnd(
    granted: GrantedRequest,
    outcome: RunOutcome,
    now: number,
  ): void {
    const { request, server: name } = granted;
    if (RESPONSE_OUTCOMES.has(outcome)) {
      this.#recordResponse(name, request.id, now);
    }
    if (outcome === "answered") {
      this.#crashes.recordCompleteRun(fingerprintsOf(request));
    }
    this.rollout.recordEnd(request.id, outcome, now);
    this.#removeRun(name, request.id);
    const server = this.#servers.get(name);
    if (server === undefined) return;
    const { isAdaptive } = this;
    switch (outcome) {
      case "connection_refused":
        server.refundLimit();
        server.markDown(now);
        return;
      case "crashed":
        this.#ejection
          .recordFailure(name, "error", now, { cause: "crash", isAdaptive });
        server.markDown(now);
        return;
      case "misdirected":
        server.markDown(now);
        return;
      case "connection_timeout":
        server.refundLimit();
        server.markUnreachableFrom(request.entry, now);
        return;
      case "not_run":
      case "failed":
      case "broken":
        this.#ejection.recordFailure(name, "error", now, { isAdaptive });
        return;
      default:
    }
  }

  /** Removes all runs of an entry, which has disconnected. */
  removeEntry(entry: string): void {
    this.rollout.removeEntry(entry);
    for (const server of this.#servers.values()) server.removeEntry(entry);
    for (const name of this.#departed.removeEntry(entry)) {
      this.#ejection.remove(name);
    }
  }

  /** Milliseconds to the first token at a server of average speed. */
  expectedFirstTokenTime(request: GrantRequest, now: number): number {
    return this.#latencyRatios(now).firstToken *
      nominalFirstTokenTime(request.cost);
  }

  /** Milliseconds for which the request is expected to occupy a slot. */
  expectedRunTime(request: GrantRequest, now: number): number {
    const { firstToken, decode } = this.#latencyRatios(now);
    return firstToken * nominalFirstTokenTime(request.cost) +
      decode * nominalDecodeTime(request.cost);
  }

  #bounds(name: string): UsageBounds {
    return {
      fractions: this.#fractions,
      limit: this.#limits.find(name),
      startLimit: this.#startLimit,
      isAdaptive: this.isAdaptive,
    };
  }

  #latencyRatios(now: number): ServiceLatencyRatios {
    return {
      firstToken: this.#firstTokenRatio.value(now, 1),
      decode: this.#decodeRatio.value(now, 1),
      usesPace: this.isAdaptive,
    };
  }
}

function comparedRun(
  { entry, route = "", cost }: GrantRequest,
  record: ServerRecord,
  grantedAt: number,
): ComparedRun {
  const { version, dataCentre, coldUntil = -Infinity } = record;
  return {
    entry,
    version,
    server: incarnationOf(record),
    dataCentre,
    route,
    cost,
    grantedAt,
    isCold: coldUntil > grantedAt,
  };
}

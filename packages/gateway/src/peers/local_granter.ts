/**
 * Grants backend servers to this entry and to the peers whose granting entry it
 * is.
 *
 * All of this is soft state and nothing is stored. When the granting entry is
 * lost, each entry submits its waiting requests to the next one and reports
 * those that run.
 * @module
 */
import { GroupScheduler, OrganisationCounts } from "@sycamorepulley/decisions";
import type {
  AppointmentReport,
  BalanceReport,
  GrantDecision,
  GrantRequest,
  GroupFractions,
  LoadReport,
  OrganisationCount,
  Quota,
  QuotaLeeway,
  RolloutBounds,
  RolloutHandover,
  RolloutReport,
  RolloutState,
  RunOutcome,
  SchedulingOptions,
  ServerLoad,
  ServerRecord,
  ServiceAppointment,
  ServiceExclusions,
  ServiceLoad,
  SizeClassReport,
  StreamTiming,
} from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import { exclusionLine } from "../observe/exclusion_lines.ts";
import { decodeGrantRequest } from "./grant_request_message.ts";
import { decodeAppointments } from "./held_appointments.ts";
import { encodeRefusal } from "./refusal_message.ts";
import type { RunLocation } from "./interrupted_runs.ts";
import type { GrantResult } from "./pending_grant.ts";
import type { GrantRequestMessage, PeerMessage } from "./messages.ts";
import { decodeLoad } from "./reported_load_message.ts";
import type { Peers } from "./peers.ts";
import type { SharedServerLimits } from "./shared_server_limits.ts";
import type { SharedSuspects } from "./shared_suspects.ts";

/** Decides grant requests and delivers the decisions. */
export class LocalGranter {
  readonly #instance: string;
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #peers: () => Peers;
  readonly #onResult: (id: string, result: GrantResult) => void;
  readonly #scheduler: GroupScheduler;
  readonly #limits: SharedServerLimits;
  readonly #suspects: SharedSuspects;
  readonly #organisationCounts = new OrganisationCounts();
  /** Grant requests of peers that wait or run, by id. */
  readonly #peerRequests = new Map<string, GrantRequest>();
  #fractions: GroupFractions = { room: 1, quota: 1 };
  #quotas: ReadonlyMap<string, Quota> = new Map();
  /** A delivery is scheduled for the end of this turn of the event loop. */
  #deliveryScheduled = false;

  constructor(
    options: {
      instance: string;
      clock: () => number;
      log: EventLog;
      peers: () => Peers;
      leeway: QuotaLeeway;
      limits: SharedServerLimits;
      suspects: SharedSuspects;
      /** Milliseconds that a server that leaves goes on serving. */
      drainTime: number;
      /** Receives the result of a grant request of this entry. */
      onResult: (id: string, result: GrantResult) => void;
    },
  ) {
    this.#instance = options.instance;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#peers = options.peers;
    this.#onResult = options.onResult;
    this.#limits = options.limits;
    this.#suspects = options.suspects;
    this.#scheduler = new GroupScheduler(
      options.leeway,
      options.limits.known,
      options.suspects.known,
      { drainTime: options.drainTime, startedAt: options.clock() },
    );
  }

  /** Fractions of the fleet's capacity and quotas that are granted here. */
  get fractions(): GroupFractions {
    return this.#fractions;
  }

  /** Load of each service; empty while this entry is no granting entry. */
  loads(): ServiceLoad[] {
    return this.#fractions.room === 0
      ? []
      : this.#scheduler.loads(this.#clock());
  }

  /** Excluded servers; empty while this entry is no granting entry. */
  exclusions(): ServiceExclusions[] {
    return this.#fractions.room === 0 ? [] : this.#scheduler.exclusions();
  }

  /**
   * Last reports of servers on their load, with their age in milliseconds; empty
   * while this entry is no granting entry.
   */
  reportedLoads(): { server: string; load: ServerLoad; age: number }[] {
    if (this.#fractions.room === 0) return [];
    const now = this.#clock();
    return [...this.#scheduler.reportedLoads()].map(({ server, report }) => ({
      server,
      load: report.load,
      age: now - report.observedAt,
    }));
  }

  /** See {@link GroupScheduler.takeSizeClassReports}. */
  takeSizeClassReports(): SizeClassReport[] {
    return this.#scheduler.takeSizeClassReports();
  }

  /** See {@link OrganisationCounts.report}. */
  organisationCounts(): OrganisationCount[] {
    return this.#organisationCounts.report();
  }

  /** See {@link GroupScheduler.takeBalanceReports}. */
  takeBalanceReports(): BalanceReport[] {
    return this.#scheduler.takeBalanceReports(this.#clock());
  }

  setServers(records: readonly ServerRecord[]): void {
    const crashes = this.#scheduler.setServers(records, this.#clock());
    for (const crash of crashes) this.#suspects.logCrash(crash);
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.setStartLimits}. */
  setStartLimits(limits: ReadonlyMap<string, number>): void {
    this.#scheduler.setStartLimits(limits);
  }

  /** See {@link GroupScheduler.setMemoryTokens}. */
  setMemoryTokens(tokens: ReadonlyMap<string, number>): void {
    this.#scheduler.setMemoryTokens(tokens);
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.setRollouts}. */
  setRollouts(states: ReadonlyMap<string, RolloutState>): void {
    this.#scheduler.setRollouts(states, this.#clock());
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.setRolloutBounds}. */
  setRolloutBounds(bounds: RolloutBounds): void {
    this.#scheduler.setRolloutBounds(bounds);
  }

  /** See {@link GroupScheduler.setScheduling}. */
  setScheduling(options: SchedulingOptions): void {
    this.#scheduler.setScheduling(options);
  }

  /** See {@link GroupScheduler.rolloutReports}. */
  rolloutReports(): RolloutReport[] {
    return this.#scheduler.rolloutReports(this.#clock());
  }

  /** See {@link GroupScheduler.rolloutHandovers}. */
  rolloutHandovers(): RolloutHandover[] {
    return this.#scheduler.rolloutHandovers(this.#clock());
  }

  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#quotas = quotas;
    this.#scheduler.setQuotas(quotas, this.#fractions, this.#clock());
  }

  setLeeway(leeway: QuotaLeeway): void {
    this.#scheduler.setLeeway(leeway);
    this.setQuotas(this.#quotas);
  }

  setFractions(fractions: GroupFractions): void {
    const { room, quota } = this.#fractions;
    if (fractions.room === room && fractions.quota === quota) return;
    this.#fractions = fractions;
    this.#scheduler.setQuotas(this.#quotas, fractions, this.#clock());
    this.#scheduleDelivery();
  }

  submit(request: GrantRequest): void {
    const decision = this.#scheduler.submit(request, this.#clock());
    if (decision !== undefined) this.#deliver(decision);
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.withdraw}. */
  withdraw(request: GrantRequest): void {
    this.#scheduler.withdraw(request);
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.release}. */
  release(request: GrantRequest): void {
    this.#scheduler.release(request);
    this.#scheduleDelivery();
  }

  /** Counts a request that runs under a grant of another entry. */
  adopt(request: GrantRequest, { server, address }: RunLocation): void {
    this.#scheduler.adopt(request, server, this.#clock(), address);
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.mergeAppointments}. */
  mergeAppointments(appointments: readonly ServiceAppointment[]): void {
    this.#scheduler.mergeAppointments(appointments);
  }

  /** See {@link GroupScheduler.takeAppointmentReports}. */
  takeAppointmentReports(): AppointmentReport[] {
    return this.#fractions.room === 0
      ? []
      : this.#scheduler.takeAppointmentReports(this.#clock());
  }

  /** See {@link GroupScheduler.recordServerLoad}. */
  recordServerLoad(id: string, report: LoadReport | undefined): void {
    if (report !== undefined) this.#scheduler.recordServerLoad(id, report);
  }

  recordResponseStart(id: string, measured: number): void {
    this.#scheduler.recordResponseStart(id, measured, this.#clock());
    this.#scheduleDelivery();
  }

  /** See {@link GroupScheduler.recordRequestedBackoff}. */
  recordRequestedBackoff(id: string, duration: number): void {
    if (duration <= 0) return;
    this.#scheduler.recordRequestedBackoff(id, duration, this.#clock());
  }

  recordEnd(id: string, outcome: RunOutcome, timing: StreamTiming): void {
    const now = this.#clock();
    this.#scheduler.recordStreamTiming(id, timing, now);
    const crash = this.#scheduler.recordEnd(id, outcome, now);
    if (crash !== undefined) this.#suspects.logCrash(crash);
    this.#scheduleDelivery();
  }

  /** Handles a peer's message about its grant requests; false for any other. */
  handleMessage(peer: string, message: PeerMessage): boolean {
    switch (message.type) {
      case "ask":
        this.#handleGrantRequest(peer, message);
        return true;
      case "withdraw":
        this.recordRequestedBackoff(message.id, message.backoff);
        this.#removePeerRequest(
          message.id,
          (request) => this.withdraw(request),
        );
        return true;
      case "release":
        this.#removePeerRequest(message.id, (request) => this.release(request));
        return true;
      case "first_answer":
        this.recordServerLoad(
          message.id,
          decodeLoad(message, peer, this.#clock()),
        );
        this.recordResponseStart(message.id, message.measured);
        return true;
      case "rollout_handover":
        this.#scheduler.takeOverRollout(message.handover, this.#clock());
        return true;
      case "appointments":
        this.mergeAppointments(decodeAppointments(message, this.#clock()));
        return true;
      case "ended":
        this.#peerRequests.delete(message.id);
        this.recordServerLoad(
          message.id,
          decodeLoad(message, peer, this.#clock()),
        );
        this.recordRequestedBackoff(message.id, message.backoff);
        this.recordEnd(message.id, outcomeOf(message), message);
        return true;
      default:
        return false;
    }
  }

  /**
   * Removes a lost peer, whose connections to backend servers are lost with it.
   */
  removePeer(peer: string): void {
    for (const [id, request] of this.#peerRequests) {
      if (request.entry === peer) this.#peerRequests.delete(id);
    }
    this.#scheduler.removeEntry(peer);
    this.#scheduleDelivery();
  }

  /** Delivers all grants and refusals that can be decided now. */
  deliverDecisions(): void {
    this.#suspects.publishChanges();
    for (const change of this.#scheduler.takeExclusionChanges()) {
      this.#log.write(exclusionLine(change));
    }
    for (const decision of this.#scheduler.decide(this.#clock())) {
      this.#deliver(decision);
    }
  }

  /** Schedules one delivery for all events of this turn of the event loop. */
  #scheduleDelivery(): void {
    if (this.#deliveryScheduled) return;
    this.#deliveryScheduled = true;
    setImmediate(() => {
      this.#deliveryScheduled = false;
      this.deliverDecisions();
    });
  }

  #handleGrantRequest(peer: string, message: GrantRequestMessage): void {
    const request = decodeGrantRequest(message, peer, this.#clock());
    this.#peerRequests.set(request.id, request);
    const { runsAt: server, runsAtAddress: address } = message;
    if (server === undefined) this.submit(request);
    else this.adopt(request, { server, address });
  }

  #removePeerRequest(
    id: string,
    remove: (request: GrantRequest) => void,
  ): void {
    const request = this.#peerRequests.get(id);
    this.#peerRequests.delete(id);
    if (request !== undefined) remove(request);
  }

  #deliver(decision: GrantDecision): void {
    const { request } = decision;
    this.#organisationCounts.record(decision);
    if (request.entry === this.#instance) {
      this.#onResult(request.id, toGrantResult(decision, this.#instance));
      return;
    }
    if (decision.kind === "grant") {
      const { server } = decision;
      const limit = this.#limits.forGrant(server);
      const message = { type: "grant" as const, id: request.id, server };
      this.#peers().send(
        request.entry,
        limit ? { ...message, limit } : message,
      );
      return;
    }
    this.#peerRequests.delete(request.id);
    const acceptsSuspects = decision.reason !== "quarantined" ||
      this.#peers().acceptsSuspects(request.entry);
    this.#peers().send(
      request.entry,
      encodeRefusal(decision, this.#clock(), { acceptsSuspects }),
    );
  }
}

function outcomeOf(
  { end, crashed }: Extract<PeerMessage, { type: "ended" }>,
): RunOutcome {
  return end === "broken" && crashed ? "crashed" : end;
}

function toGrantResult(decision: GrantDecision, by: string): GrantResult {
  if (decision.kind === "grant") {
    return { kind: "grant", server: decision.server, by };
  }
  const { reason, retryAfter, inputs } = decision;
  return { kind: "refuse", reason, retryAfter, inputs, by };
}

/**
 * Obtains a backend server for each request of this entry from the granting
 * entry of its group, the connected entries. That may be this entry itself.
 * @module
 */
import {
  addressOf,
  groupFractions,
  incarnationOf,
  RequestedBackoffs,
  selectGrantingEntry,
} from "@sycamorepulley/decisions";
import type {
  AppointmentReport,
  BalanceReport,
  GrantRequest,
  GroupFractions,
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
  ServiceExclusions,
  ServiceLoad,
  SizeClassReport,
  StreamTiming,
  SuspectStatement,
} from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import { encodeGrantRequest } from "./grant_request_message.ts";
import { LocalGranter } from "./local_granter.ts";
import { encodeAppointments, HeldAppointments } from "./held_appointments.ts";
import { InterruptedRuns } from "./interrupted_runs.ts";
import type { InterruptedRun } from "./interrupted_runs.ts";
import { PendingGrant } from "./pending_grant.ts";
import type { GrantResult } from "./pending_grant.ts";
import type { PeerMessage } from "./messages.ts";
import type { PeerEntry, Peers } from "./peers.ts";
import { decodeRefusal } from "./refusal_message.ts";
import { encodeLoad } from "./reported_load_message.ts";
import type { ReceivedLoad } from "./reported_load_message.ts";
import { SharedServerLimits } from "./shared_server_limits.ts";
import { SharedSuspects } from "./shared_suspects.ts";

/** Number of next granting entries that get what is known of roll-outs. */
const ROLLOUT_SUCCESSORS = 2;

const NO_STREAM_TIMING: StreamTiming = { tokens: 0, measured: 0, pausePart: 0 };

/** A grant request without its identity; times are of this entry's clock. */
export type GrantRequestOptions = Omit<GrantRequest, "id" | "entry">;

/** State of the fleet as known to this entry. */
export type FleetView = {
  peers: readonly PeerEntry[];
  /** This entry; {@link GrantClient} itself knows its granting entry. */
  self: Omit<PeerEntry, "asks" | "probePending">;
  /** Share of each known entry by name; see `GroupView`. */
  shares: ReadonlyMap<string, number>;
  /** Largest total of shares that a peer announced. */
  reportedTotalShares: number;
};

/** A submitted grant request and its future result. */
export type SubmittedRequest = { id: string; result: Promise<GrantResult> };

/** Submits grant requests, and moves them when the granting entry changes. */
export class GrantClient {
  readonly #instance: string;
  readonly #incarnation: string;
  readonly #clock: () => number;
  readonly #log: EventLog;
  readonly #peers: () => Peers;
  readonly #localGranter: LocalGranter;
  /** Request-rate limits that backend servers state. */
  readonly limits: SharedServerLimits;
  /** Requests that may crash servers. */
  readonly suspects: SharedSuspects;
  /** Backoffs that servers request of this entry, by server incarnation. */
  readonly backoffs = new RequestedBackoffs();
  readonly #pending = new Map<string, PendingGrant>();
  readonly #interrupted = new InterruptedRuns();
  readonly #appointments = new HeldAppointments();
  /** Addresses of the servers that may be sent requests, by incarnation. */
  #addresses: ReadonlyMap<string, string> = new Map();
  #grantingEntry: string;
  #submittedCount = 0;

  constructor(
    options: {
      instance: string;
      incarnation: string;
      clock: () => number;
      log: EventLog;
      peers: () => Peers;
      leeway: QuotaLeeway;
      /** See {@link LocalGranter}. */
      drainTime: number;
      /** See {@link SharedSuspects}. */
      onSuspectDecision: (statement: SuspectStatement) => void;
    },
  ) {
    this.#instance = options.instance;
    this.#incarnation = options.incarnation;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#peers = options.peers;
    this.#grantingEntry = options.instance;
    this.limits = new SharedServerLimits({
      ...options,
      send: (message) => {
        if (!this.#grantsLocally) this.#sendToGrantingEntry(message);
      },
    });
    this.suspects = new SharedSuspects(options);
    this.#localGranter = new LocalGranter({
      ...options,
      limits: this.limits,
      suspects: this.suspects,
      onResult: (id, result) => this.#settle(id, result),
    });
  }

  /** See {@link LocalGranter.fractions}. */
  get fractions(): GroupFractions {
    return this.#localGranter.fractions;
  }

  /** Instance name of the granting entry, which may be this entry. */
  get grantingEntry(): string {
    return this.#grantingEntry;
  }

  /** See {@link LocalGranter.loads}. */
  loads(): ServiceLoad[] {
    return this.#localGranter.loads();
  }

  /** See {@link LocalGranter.exclusions}. */
  exclusions(): ServiceExclusions[] {
    return this.#localGranter.exclusions();
  }

  /** See {@link LocalGranter.takeAppointmentReports}. */
  takeAppointmentReports(): AppointmentReport[] {
    return this.#localGranter.takeAppointmentReports();
  }

  /** See {@link LocalGranter.reportedLoads}. */
  reportedLoads(): ReturnType<LocalGranter["reportedLoads"]> {
    return this.#localGranter.reportedLoads();
  }

  /** See {@link LocalGranter.takeSizeClassReports}. */
  takeSizeClassReports(): SizeClassReport[] {
    return this.#localGranter.takeSizeClassReports();
  }

  /** See {@link LocalGranter.organisationCounts}. */
  organisationCounts(): OrganisationCount[] {
    return this.#localGranter.organisationCounts();
  }

  /** See {@link LocalGranter.takeBalanceReports}. */
  takeBalanceReports(): BalanceReport[] {
    return this.#localGranter.takeBalanceReports();
  }

  setServers(records: readonly ServerRecord[]): void {
    this.#addresses = new Map(
      records.map((record) => [incarnationOf(record), addressOf(record)]),
    );
    this.#localGranter.setServers(records);
    this.#interrupted.setServers(records);
  }

  /** See {@link GroupScheduler.setStartLimits}. */
  setStartLimits(limits: ReadonlyMap<string, number>): void {
    this.#localGranter.setStartLimits(limits);
  }

  /** See {@link GroupScheduler.setMemoryTokens}. */
  setMemoryTokens(tokens: ReadonlyMap<string, number>): void {
    this.#localGranter.setMemoryTokens(tokens);
  }

  /** See {@link GroupScheduler.setRollouts}. */
  setRollouts(states: ReadonlyMap<string, RolloutState>): void {
    this.#localGranter.setRollouts(states);
  }

  /** See {@link GroupScheduler.setRolloutBounds}. */
  setRolloutBounds(bounds: RolloutBounds): void {
    this.#localGranter.setRolloutBounds(bounds);
  }

  /** See {@link GroupScheduler.setScheduling}. */
  setScheduling(options: SchedulingOptions): void {
    this.#localGranter.setScheduling(options);
  }

  /** Conclusions on roll-outs; empty unless this entry grants for its group. */
  rolloutReports(): RolloutReport[] {
    return this.#grantsLocally ? this.#localGranter.rolloutReports() : [];
  }

  /**
   * Sends what is known of the roll-outs that run to the next granting entries,
   * since it would be lost with this one.
   */
  shareRollouts(peers: readonly PeerEntry[]): void {
    if (!this.#grantsLocally) return;
    const handovers = this.#localGranter.rolloutHandovers();
    if (handovers.length === 0) return;
    const candidates = peers.filter(({ leaving }) => !leaving);
    for (let count = 0; count < ROLLOUT_SUCCESSORS; count++) {
      const name = selectGrantingEntry(candidates);
      if (name === undefined) return;
      this.#sendRollouts(name, handovers);
      candidates.splice(candidates.findIndex((peer) => peer.name === name), 1);
    }
  }

  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#localGranter.setQuotas(quotas);
  }

  setLeeway(leeway: QuotaLeeway): void {
    this.#localGranter.setLeeway(leeway);
  }

  /** Updates the granting entry, and the fractions that are granted here. */
  updateGroup(view: FleetView): void {
    const { peers, self, shares, reportedTotalShares } = view;
    const entries: PeerEntry[] = [
      ...peers,
      { ...self, asks: undefined, probePending: false },
    ];
    const active = entries.filter((entry) => !entry.leaving);
    // If all entries drain at once they stay one group: each entry on its own
    // would use every quota in full.
    const candidates = active.length > 0 ? active : entries;
    // An entry that has not answered a probe may have failed together with the
    // previous granting entry.
    const responsive = candidates.filter((entry) => !entry.probePending);
    const granting = selectGrantingEntry(responsive) ?? this.#instance;
    const reachable = entries.map(({ name, listed, asks }) => {
      const itsGrantingEntry = name === this.#instance ? granting : asks;
      return {
        name,
        listed,
        asksThisEntry: itsGrantingEntry === this.#instance,
      };
    });
    this.#localGranter.setFractions(
      groupFractions({
        reachable,
        shares,
        reportedTotalShares,
      }),
    );
    if (granting === this.#grantingEntry) return;
    const { room, quota } = this.fractions;
    this.#log.write({
      event: "group_changed",
      granting,
      size: entries.length,
      room: Math.round(room * 1000) / 1000,
      quota: Math.round(quota * 1000) / 1000,
    });
    this.#changeGrantingEntry(granting);
  }

  /** Requests a grant. It is tracked until `withdraw` or `recordEnd`. */
  submit(options: GrantRequestOptions): SubmittedRequest {
    const id = `${this.#incarnation}.${++this.#submittedCount}`;
    const request: GrantRequest = {
      ...options,
      id,
      entry: this.#instance,
    };
    const result = new Promise<GrantResult>((resolve) => {
      this.#pending.set(id, new PendingGrant(request, resolve));
    });
    this.#submit(request);
    return { id, result };
  }

  /** Withdraws a grant request that no longer waits, or its unused grant. */
  withdraw(id: string): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    const backoff = this.#requestedBackoff(pending);
    if (this.#grantsLocally) {
      this.#localGranter.recordRequestedBackoff(id, backoff);
      this.#localGranter.withdraw(pending.request);
    } else this.#sendToGrantingEntry({ type: "withdraw", id, backoff });
  }

  /**
   * Records what the granted server reported with its response. It is passed on
   * with the start or the end of the response.
   */
  recordServerLoad(id: string, load: ServerLoad): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.load = { load, observedAt: this.#clock() };
  }

  /** `measured`: milliseconds from sending until the response began. */
  recordResponseStart(id: string, measured: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const { location, grantedAt } = pending;
    if (location !== undefined) {
      this.#interrupted.recordResponse(location.server, grantedAt);
    }
    const received = pending.takeLoad();
    if (this.#grantsLocally) {
      this.#recordLoadLocally(id, received);
      this.#localGranter.recordResponseStart(id, measured);
    } else {
      const load = encodeLoad(received, this.#clock());
      const message = { type: "first_answer" as const, id, measured, ...load };
      this.#sendToGrantingEntry(message);
    }
  }

  /** `timing`: of the response after its first token, if it got that far. */
  recordEnd(
    id: string,
    outcome: RunOutcome,
    timing: StreamTiming = NO_STREAM_TIMING,
  ): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    const backoff = this.#requestedBackoff(pending);
    if (outcome === "answered") {
      this.suspects.recordServed(pending.request.promptParts);
    }
    const { request, location } = pending;
    if (location !== undefined) {
      const endedAt = this.#clock();
      this.#interrupted.recordEnd({ ...location, request, outcome, endedAt });
    }
    const received = pending.takeLoad();
    if (this.#grantsLocally) {
      this.#recordLoadLocally(id, received);
      this.#localGranter.recordRequestedBackoff(id, backoff);
      this.#localGranter.recordEnd(id, outcome, timing);
      return;
    }
    this.#sendEnd(id, outcome, timing, backoff, received);
  }

  /** Handles a peer's message about grants; returns false for any other. */
  handleMessage(peer: string, message: PeerMessage): boolean {
    switch (message.type) {
      case "suspects":
        this.suspects.merge(message.statements, this.#grantsLocally);
        return true;
      case "server_limit":
        this.limits.mergeFromPeer(message.server, message.observation);
        return true;
      case "grant":
        if (message.limit !== undefined) {
          this.limits.mergeFromPeer(message.server, message.limit);
        }
        this.#settle(message.id, {
          kind: "grant",
          server: message.server,
          by: peer,
        });
        return true;
      case "refuse": {
        const pending = this.#pending.get(message.id);
        if (pending === undefined) return true;
        const now = this.#clock();
        const result = decodeRefusal(message, pending.request, peer, now);
        this.#settle(message.id, result);
        return true;
      }
      default:
        return this.#localGranter.handleMessage(peer, message);
    }
  }

  /**
   * Removes a lost peer, whose connections to backend servers are lost with it.
   */
  removePeer(peer: string): void {
    this.#localGranter.removePeer(peer);
  }

  /**
   * Repeats all limits and grant requests over a new link to the granting
   * entry: messages sent over an earlier link may be lost. A granting entry
   * repeats all suspects over each new link, and all entries do so for a peer
   * that has just started.
   */
  handlePeerConnected(
    peer: string,
    { hasJustStarted }: { hasJustStarted: boolean },
  ): void {
    if (this.#grantsLocally || hasJustStarted) this.suspects.sendAll(peer);
    if (peer !== this.#grantingEntry) return;
    this.limits.sendAll();
    // Before the requests: their standing depends on the appointments.
    this.#reportAppointments();
    this.#reportRollouts();
    for (const { request, location } of this.#pending.values()) {
      this.#sendToGrantingEntry(
        encodeGrantRequest(request, this.#clock(), location),
      );
    }
    this.#repeatInterruptedRuns();
  }

  /** See {@link LocalGranter.deliverDecisions}. */
  deliverDecisions(): void {
    this.#localGranter.deliverDecisions();
  }

  /** Backoffs in force that servers request of this entry. */
  activeBackoffs(): { server: string; remaining: number }[] {
    return this.backoffs.active(this.#clock());
  }

  /** Milliseconds of backoff that the granted server requests, if any. */
  #requestedBackoff({ location }: PendingGrant): number {
    return location === undefined
      ? 0
      : this.backoffs.remaining(location.server, this.#clock());
  }

  get #grantsLocally(): boolean {
    return this.#grantingEntry === this.#instance;
  }

  #recordLoadLocally(id: string, received: ReceivedLoad | undefined): void {
    if (received === undefined) return;
    const report = { ...received, by: this.#instance };
    this.#localGranter.recordServerLoad(id, report);
  }

  #sendToGrantingEntry(message: PeerMessage): void {
    this.#peers().send(this.#grantingEntry, message);
  }

  #sendEnd(
    id: string,
    outcome: RunOutcome,
    timing: StreamTiming,
    backoff: number,
    received?: ReceivedLoad,
  ): void {
    const crashed = outcome === "crashed";
    this.#sendToGrantingEntry({
      type: "ended",
      id,
      end: crashed ? "broken" : outcome,
      crashed,
      ...timing,
      backoff,
      ...encodeLoad(received, this.#clock()),
    });
  }

  /** Reports interrupted runs to a granting entry that may not know them. */
  #repeatInterruptedRuns(): void {
    for (const run of this.#interrupted.current(this.#clock())) {
      this.#repeatInterruptedRun(run);
    }
  }

  #repeatInterruptedRun(run: InterruptedRun): void {
    const { request, outcome } = run;
    if (this.#grantsLocally) {
      this.#localGranter.adopt(request, run);
      this.#localGranter.recordEnd(request.id, outcome, NO_STREAM_TIMING);
      return;
    }
    this.#sendToGrantingEntry(
      encodeGrantRequest(request, this.#clock(), run),
    );
    this.#sendEnd(request.id, outcome, NO_STREAM_TIMING, 0);
  }

  #submit(request: GrantRequest): void {
    if (this.#grantsLocally) this.#localGranter.submit(request);
    else this.#sendToGrantingEntry(encodeGrantRequest(request, this.#clock()));
  }

  #changeGrantingEntry(next: string): void {
    const previous = this.#grantingEntry;
    this.#grantingEntry = next;
    // Announced before any request is sent: an entry grants only from the
    // shares of the entries that have announced it as their granting entry.
    this.#peers().announceTo([previous, next]);
    this.limits.sendAll();
    this.suspects.sendAll(next);
    this.#reportAppointments();
    this.#reportRollouts();
    for (const { request, location } of this.#pending.values()) {
      // If not released, they would occupy slots at the previous granting entry
      // for ever.
      if (previous === this.#instance) this.#localGranter.release(request);
      else this.#peers().send(previous, { type: "release", id: request.id });
      if (location === undefined) this.#submit(request);
      else if (this.#grantsLocally) this.#localGranter.adopt(request, location);
      else {
        this.#sendToGrantingEntry(
          encodeGrantRequest(request, this.#clock(), location),
        );
      }
    }
    this.#repeatInterruptedRuns();
    this.deliverDecisions();
  }

  /** Passes what is known of the roll-outs on to another granting entry. */
  #reportRollouts(): void {
    if (this.#grantsLocally) return;
    const handovers = this.#localGranter.rolloutHandovers();
    this.#sendRollouts(this.#grantingEntry, handovers);
  }

  #sendRollouts(peer: string, handovers: readonly RolloutHandover[]): void {
    if (handovers.length === 0) return;
    if (!this.#peers().acceptsRolloutHandovers(peer)) return;
    for (const handover of handovers) {
      this.#peers().send(peer, { type: "rollout_handover", handover });
    }
  }

  /** Reports the appointments of callers to a granting entry. */
  #reportAppointments(): void {
    const now = this.#clock();
    const appointments = this.#appointments.current(now);
    if (appointments.length === 0) return;
    if (this.#grantsLocally) {
      this.#localGranter.mergeAppointments(appointments);
      return;
    }
    if (!this.#peers().acceptsAppointments(this.#grantingEntry)) return;
    for (const message of encodeAppointments(appointments, now)) {
      this.#sendToGrantingEntry(message);
    }
  }

  #holdAppointment({ service }: GrantRequest, result: GrantResult): void {
    if (result.kind === "grant") return;
    const { appointment } = result.inputs;
    if (appointment === undefined) return;
    this.#appointments.add({ ...appointment, service }, this.#clock());
  }

  #settle(id: string, result: GrantResult): void {
    const pending = this.#pending.get(id);
    if (pending === undefined || pending.location !== undefined) {
      // It was withdrawn meanwhile, or has been granted by another entry.
      if (result.kind === "grant" && result.by !== this.#instance) {
        this.#peers().send(result.by, { type: "withdraw", id, backoff: 0 });
      }
      return;
    }
    pending.by = result.by;
    if (result.kind === "grant") {
      const { server } = result;
      pending.location = { server, address: this.#addresses.get(server) };
      pending.grantedAt = this.#clock();
      this.#appointments.remove(pending.request.fingerprint);
    } else this.#pending.delete(id);
    this.#holdAppointment(pending.request, result);
    pending.resolve(result);
  }
}

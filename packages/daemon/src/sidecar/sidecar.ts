/**
 * The sidecar role: the only way to its backend server. Reservations wait
 * here; a grant offers room; the request comes in answer and runs once.
 * @module
 */
import { GrantDesk } from "@sycamorepulley/decisions";
import type { GrantDecision, Suspects } from "@sycamorepulley/decisions";
import type {
  Cost,
  Failed,
  HandOver,
  Load,
  Message,
  RefusalReason,
  Reserve,
} from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { BackendClient, RunOutcome } from "./backend_client.ts";
import { CrashWatch } from "./crash_watch.ts";
import { EntryMessageHandler } from "./entry_connection.ts";
import type { EntryConnection } from "./entry_connection.ts";
import type { HealthProbe } from "./health_probe.ts";
import { objection } from "./reservation_check.ts";
import { ReservationTable } from "./reservation_table.ts";
import { RunningRequest } from "./running_request.ts";

/** How often lapsed grants and missed deadlines are looked for. */
const TICK = 25;
/**
 * A call that can't be repeated is not stopped at its caller's deadline, since
 * half a payment is worse than a late one; a hung server must still end it.
 */
const LONGEST_RUN = 15 * 60 * 1000;

/** Options of {@link Sidecar}. */
export type SidecarOptions = {
  instance: string;
  service: string;
  desk: GrantDesk;
  suspects: Suspects;
  client: BackendClient;
  probe: () => HealthProbe;
  /** Share of an organisation beside others, from the configuration. */
  weightOf: (organisation: string) => number;
  /** Milliseconds until a refused request may come back. */
  retryAfter: (now: number) => number;
  /** Milliseconds that a new reservation of the lowest tier would wait. */
  expectedWait: (now: number) => number;
  /** A whole answer; times in milliseconds from the hand-over. */
  onServed: (
    served: { cost: Cost; firstToken: number; total: number },
    now: number,
  ) => void;
  /** Messages that concern the configuration, not requests. */
  onOtherMessage: (connection: EntryConnection, message: Message) => void;
  limit: () => number;
  metrics: Metrics;
  log: Log;
};

/** One backend server's queue, limit, health and running requests. */
export class Sidecar extends EntryMessageHandler {
  readonly #options: SidecarOptions;
  readonly #desk: GrantDesk;
  readonly #reservations = new ReservationTable();
  readonly #running = new Map<string, RunningRequest>();
  readonly #connections = new Set<EntryConnection>();
  readonly #crashes = new CrashWatch();
  #leaving = false;
  #healthy = false;
  #timer: NodeJS.Timeout | undefined;
  #idle: (() => void) | undefined;

  constructor(options: SidecarOptions) {
    super();
    this.#options = options;
    this.#desk = options.desk;
  }

  get load(): Load {
    const now = monotonicNow();
    return {
      type: "load",
      running: this.#desk.occupied,
      waiting: this.#desk.waiting,
      limit: this.#options.limit(),
      ...this.#lowestTier(),
      expectedWait: this.#options.expectedWait(now),
      healthy: this.#healthy && !this.#leaving,
    };
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  get running(): number {
    return this.#running.size;
  }

  connected(connection: EntryConnection): void {
    this.#connections.add(connection);
    connection.send(this.load);
  }

  /** The backend server's health changed. */
  healthChanged(healthy: boolean): void {
    const now = monotonicNow();
    this.#healthy = healthy;
    this.#options.log.info(
      healthy ? "backend server healthy" : "backend server unhealthy",
    );
    if (healthy) this.#desk.open();
    else this.#serverDown(now);
    this.#broadcast(this.load);
  }

  /** No new work from now on; resolves once nothing runs. */
  async leave(): Promise<void> {
    this.#leaving = true;
    this.#broadcast({ type: "leaving" });
    this.#carryOut(this.#desk.close("leaving", monotonicNow()));
    if (this.#running.size > 0) {
      await new Promise<void>((resolve) => this.#idle = resolve);
    }
    for (const connection of this.#connections) connection.end();
    clearTimeout(this.#timer);
  }

  override onMessage(connection: EntryConnection, message: Message): void {
    switch (message.type) {
      case "reserve":
        return this.#reserve(connection, message);
      case "withdraw":
        return this.#withdraw(connection.reservationId(message.reservation));
      case "handOver":
        return this.#handOver(connection, message);
      case "cancel":
        return this.#cancel(connection.reservationId(message.reservation));
      case "crashed":
        return this.#learnCrash(message.fingerprints, message.backendServer);
      default:
        return this.#options.onOtherMessage(connection, message);
    }
  }

  /** The entry is gone: what it reserved is void, what can't repeat runs on. */
  override onEnd(connection: EntryConnection): void {
    this.#connections.delete(connection);
    const now = monotonicNow();
    for (const id of this.#reservations.removeConnection(connection)) {
      this.#carryOut(this.#desk.withdraw(id, now));
    }
    for (const request of this.#running.values()) {
      if (!request.belongsTo(connection)) continue;
      if (request.handOver.runToCompletion) continue;
      request.abort.abort("cancelled");
    }
  }

  #reserve(connection: EntryConnection, reserve: Reserve): void {
    const now = monotonicNow();
    const { service, metrics, suspects, weightOf } = this.#options;
    metrics.reservations.inc({ service });
    const id = connection.reservationId(reserve.reservation);
    const reason = objection(reserve, {
      service,
      leaving: this.#leaving,
      healthy: this.#healthy,
    });
    if (reason) return this.#refuse(connection, reserve.reservation, reason);
    const verdict = suspects.verdict(reserve.fingerprint ?? "", now);
    if (verdict.kind === "quarantined") {
      return this.#refuse(connection, reserve.reservation, "quarantined");
    }
    if (this.#reservations.has(id) || this.#running.has(id)) {
      metrics.ignored.inc({ type: "reserve" });
      return;
    }
    this.#reservations.add(id, { connection, reserve });
    this.#carryOut(
      this.#desk.reserve({
        id,
        tierRank: reserve.tierRank,
        organisation: reserve.organisation,
        weight: weightOf(reserve.organisation),
        cost: reserve.cost,
        deadline: now + reserve.remaining,
        arrived: now,
        suspect: verdict.kind === "suspect" || reserve.suspect === true,
      }, now),
    );
    this.#arm();
  }

  #withdraw(id: string): void {
    if (!this.#reservations.take(id)) return;
    this.#carryOut(this.#desk.withdraw(id, monotonicNow()));
  }

  #handOver(connection: EntryConnection, handOver: HandOver): void {
    const id = connection.reservationId(handOver.reservation);
    const record = this.#reservations.take(id);
    const redeemed = this.#desk.redeem(id, handOver.grant);
    if (!record || !redeemed.valid) {
      // The grant lapsed while the entry was paused: nothing ran, and saying
      // so is true because the body goes no further than here.
      return this.#sendFailed(connection, handOver, "no", "grant_lapsed");
    }
    const request = new RunningRequest({
      id,
      connection,
      reserve: record.reserve,
      handOver,
      startedAt: monotonicNow(),
      listener: {
        onFirstToken: (id, now) => this.#desk.firstToken(id, now),
        onProgress: (id, outputTokens) =>
          this.#carryOut(
            this.#desk.progressed(id, outputTokens, monotonicNow()),
          ),
      },
    });
    this.#running.set(id, request);
    void this.#run(connection, request);
  }

  async #run(
    connection: EntryConnection,
    request: RunningRequest,
  ): Promise<void> {
    const { handOver } = request;
    const deadline = setTimeout(
      () => request.abort.abort("deadline"),
      handOver.runToCompletion ? LONGEST_RUN : handOver.remaining,
    );
    const outcome = await this.#options.client.run(
      handOver,
      request,
      request.abort.signal,
    );
    clearTimeout(deadline);
    this.#running.delete(request.id);
    const now = monotonicNow();
    if (outcome.kind === "whole") request.end();
    else this.#sendFailed(connection, handOver, outcome.ran, outcome.reason);
    this.#settle(request, outcome, now);
    if (this.#running.size === 0) this.#idle?.();
  }

  #settle(
    request: RunningRequest,
    outcome: RunOutcome,
    now: number,
  ): void {
    const { reserve } = request;
    const { suspects } = this.#options;
    if (outcome.kind === "whole") {
      this.#options.onServed(request.served(now), now);
      if (reserve.fingerprint) suspects.completed(reserve.fingerprint, now);
    } else if (outcome.cut) {
      this.#crashes.cut(reserve.fingerprint, now);
      void this.#checkServer();
    } else if (outcome.reason === "connect_failed") {
      this.#options.probe().down();
    }
    this.#carryOut(
      this.#desk.finished(request.id, limitOutcome(outcome), now),
    );
  }

  /** After a cut: a server that no longer answers has crashed. */
  async #checkServer(): Promise<void> {
    const probe = this.#options.probe();
    if (!await probe.check()) probe.down();
  }

  #serverDown(now: number): void {
    this.#carryOut(this.#desk.close("unhealthy", now));
    const fingerprints = this.#crashes.died(now);
    if (fingerprints.length === 0) return;
    const backendServer = this.#options.instance;
    this.#learnCrash(fingerprints, backendServer);
    this.#broadcast({ type: "crashed", fingerprints, backendServer });
  }

  #learnCrash(fingerprints: string[], backendServer: string): void {
    this.#options.suspects.crashed(
      fingerprints,
      backendServer,
      monotonicNow(),
    );
  }

  #cancel(id: string): void {
    const request = this.#running.get(id);
    if (!request) return;
    request.abort.abort("cancelled");
  }

  #carryOut(decisions: GrantDecision[]): void {
    for (const decision of decisions) this.#carryOutOne(decision);
  }

  #carryOutOne(decision: GrantDecision): void {
    const { service, metrics } = this.#options;
    const record = decision.kind === "grant"
      ? this.#reservations.get(decision.id)
      : this.#reservations.take(decision.id);
    if (!record) return;
    const { connection, reserve } = record;
    if (decision.kind === "refuse") {
      return this.#refuse(connection, reserve.reservation, decision.reason);
    }
    metrics.grants.inc({ service, outcome: "offered" });
    connection.send({
      type: "grant",
      reservation: reserve.reservation,
      grant: decision.grant,
      lapse: decision.lapse,
    });
    connection.sendLoad(() => this.load, monotonicNow());
  }

  #refuse(
    connection: EntryConnection,
    reservation: number,
    reason: RefusalReason,
  ): void {
    const { service, metrics, retryAfter } = this.#options;
    metrics.reservationRefusals.inc({ service, reason });
    connection.send({
      type: "refuse",
      reservation,
      reason,
      retryAfter: retryAfter(monotonicNow()),
    });
    connection.sendLoad(() => this.load, monotonicNow());
  }

  #sendFailed(
    connection: EntryConnection,
    handOver: HandOver,
    ran: Failed["ran"],
    reason: Failed["reason"],
  ): void {
    const { reservation } = handOver;
    connection.send({ type: "failed", reservation, ran, reason });
  }

  #broadcast(message: Message): void {
    for (const connection of this.#connections) connection.send(message);
  }

  #lowestTier(): { lowestTierRank?: number } {
    const lowestTierRank = this.#desk.lowestTierRank;
    return lowestTierRank === undefined ? {} : { lowestTierRank };
  }

  /** Ticks while anything waits or is granted; an idle sidecar sleeps. */
  #arm(): void {
    if (this.#timer || this.#leaving) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#carryOut(this.#desk.tick(monotonicNow()));
      if (this.#desk.waiting > 0 || this.#desk.granted > 0) this.#arm();
    }, TICK);
  }
}

function limitOutcome(outcome: RunOutcome): "ok" | "failed" | "cancelled" {
  if (outcome.kind === "whole") return outcome.status < 500 ? "ok" : "failed";
  return outcome.reason === "cancelled" ? "cancelled" : "failed";
}

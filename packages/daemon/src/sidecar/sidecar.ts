/**
 * The sidecar role: the only way to its backend server. Reservations wait
 * here; a grant offers room; the request comes in answer and runs once.
 * @module
 */
import type {
  ReservationDecision,
  ReservationScheduler,
} from "@sycamorepulley/decisions";
import type {
  HandOverMessage,
  HttpHeaders,
  LoadMessage,
  Message,
  ReserveMessage,
  SidecarRefusalReason,
} from "@sycamorepulley/protocol";
import { monotonicNow, wallNow } from "../common/clock.ts";
import type { RunOutcome } from "./backend_client.ts";
import { limitOutcome, serverFailed } from "./run_outcome.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { EntryMessageHandler } from "./entry_connection.ts";
import type { EntryConnection } from "./entry_connection.ts";
import { objection } from "./reservation_check.ts";
import { ReservationTable } from "./reservation_table.ts";
import type { SidecarOptions } from "./sidecar_options.ts";
import { RequestRuns } from "./request_runs.ts";
import type { RunningRequest } from "./running_request.ts";

/** How often lapsed grants and missed deadlines are looked for. */
const TICK = 25;

/** One backend server's queue, limit, health and running requests. */
export class Sidecar extends EntryMessageHandler {
  readonly #options: SidecarOptions;
  readonly #desk: ReservationScheduler;
  readonly #reservations = new ReservationTable();
  readonly #runs: RequestRuns;
  readonly #connections = new Set<EntryConnection>();
  readonly #crashes: CrashReporter;
  #leaving = false;
  #healthy = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SidecarOptions) {
    super();
    this.#options = options;
    this.#desk = options.desk;
    const { instance, suspects, probe } = options;
    this.#crashes = new CrashReporter({
      instance,
      suspects,
      probe,
      broadcast: (message) => this.#broadcast(message),
    });
    this.#runs = new RequestRuns({
      client: options.client,
      listener: {
        onHead: (headers, startedAt) => this.#hear(headers, startedAt),
        onFirstToken: (id, now) => this.#desk.firstToken(id, now),
        onProgress: (id, outputTokens) =>
          this.#carryOut(
            this.#desk.progressed(id, outputTokens, monotonicNow()),
          ),
      },
      diagnose: (request) =>
        this.#crashes.diagnose(request.reserve.fingerprint),
      onSettled: (request, outcome, now) => this.#settle(request, outcome, now),
    });
  }

  get load(): LoadMessage {
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

  connected(connection: EntryConnection): void {
    this.#connections.add(connection);
    connection.send(this.load);
    for (const text of this.#options.guard.records) {
      connection.send({ type: "moveRecord", text });
    }
  }

  /** The backend server's health changed. */
  healthChanged(healthy: boolean): void {
    const now = monotonicNow();
    this.#healthy = healthy;
    this.#options.log.info(
      healthy ? "backend server healthy" : "backend server unhealthy",
    );
    if (healthy) this.#desk.open();
    else {
      this.#carryOut(this.#desk.close("unhealthy", now));
      this.#crashes.tell(now);
    }
    this.#broadcast(this.load);
  }

  /** No new work from now on; resolves once nothing runs. */
  async leave(): Promise<void> {
    this.#leaving = true;
    this.#broadcast({ type: "leaving" });
    this.#carryOut(this.#desk.close("leaving", monotonicNow()));
    await this.#runs.idle();
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
        return this.#runs.cancel(
          connection.reservationId(message.reservation),
        );
      case "crashed":
        return this.#crashes.learn(message);
      case "moveRecord":
        return this.#options.guard.offerRecord(message.text);
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
    this.#runs.entryGone(connection);
  }

  #reserve(connection: EntryConnection, reserve: ReserveMessage): void {
    const now = monotonicNow();
    const { service, metrics, suspects, weightOf } = this.#options;
    metrics.reservations.inc({ service });
    const id = connection.reservationId(reserve.reservation);
    const reason = objection(reserve, {
      service,
      leaving: this.#leaving,
      healthy: this.#healthy,
      versionStopped: this.#options.guard.stopped(now),
    });
    if (reason) return this.#refuse(connection, reserve.reservation, reason);
    const verdict = suspects.verdict(reserve.fingerprint ?? "", now);
    if (verdict.kind === "quarantined") {
      return this.#refuse(connection, reserve.reservation, "quarantined");
    }
    if (this.#reservations.has(id) || this.#runs.has(id)) {
      metrics.ignoredMessages.inc({ type: "reserve" });
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
        deadline: now + this.#options.timeAllowed(reserve),
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

  #handOver(connection: EntryConnection, handOver: HandOverMessage): void {
    const id = connection.reservationId(handOver.reservation);
    const record = this.#reservations.take(id);
    const redeemed = this.#desk.redeem(id, handOver.grant);
    if (!record || !redeemed.valid) {
      // The grant lapsed while the entry was paused: nothing ran, and saying
      // so is true because the body goes no further than here.
      return connection.send({
        type: "failed",
        reservation: handOver.reservation,
        ran: "no",
        reason: "grant_lapsed",
      });
    }
    const { reserve } = record;
    this.#runs.start({ id, connection, reserve, handOver });
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
      if (reserve.fingerprint) {
        suspects.recordCleanRun(reserve.fingerprint, now);
      }
    } else if (outcome.reason === "connect_failed") {
      this.#options.probe().down();
    }
    const { route } = reserve;
    const failed = serverFailed(outcome);
    this.#options.guard.ended({ route, failed }, now, wallNow());
    this.#carryOut(
      this.#desk.finished(request.id, limitOutcome(outcome), now),
    );
  }

  #carryOut(decisions: ReservationDecision[]): void {
    for (const decision of decisions) this.#carryOutOne(decision);
  }

  #carryOutOne(decision: ReservationDecision): void {
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
    reason: SidecarRefusalReason,
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

  #hear(headers: HttpHeaders, startedAt: number): void {
    const now = monotonicNow();
    const { statedLimit } = this.#options;
    if (!statedLimit.heard(headers, startedAt, now)) return;
    this.#carryOut(this.#desk.setRateLimit(statedLimit.perSecond, now));
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
      if (this.#desk.waiting > 0 || this.#desk.openGrants > 0) this.#arm();
    }, TICK);
  }
}

/**
 * The sidecar role. All requests to a backend server pass through its sidecar:
 * reservations wait here, a grant offers free capacity to one of them, and in
 * response the entry hands over the request, which runs once.
 * @module
 */
import { fingerprintsOf } from "@sycamorepulley/decisions";
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
import { isServerFailure, limitOutcome } from "./run_outcome.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { EntryMessageHandler } from "./entry_connection.ts";
import type { EntryConnection } from "./entry_connection.ts";
import { refusalReason } from "./reservation_check.ts";
import { ReservationTable } from "./reservation_table.ts";
import type { SidecarOptions } from "./sidecar_options.ts";
import { RunningRequests } from "./running_requests.ts";
import type { RunningRequest } from "./running_request.ts";

/** Milliseconds between two checks for expired grants and missed deadlines. */
const TICK_INTERVAL = 25;

/**
 * Connects the queue, the limits, the health and the running requests of one
 * backend server with the entries.
 */
export class Sidecar extends EntryMessageHandler {
  readonly #options: SidecarOptions;
  readonly #scheduler: ReservationScheduler;
  readonly #reservations = new ReservationTable();
  readonly #running: RunningRequests;
  readonly #connections = new Set<EntryConnection>();
  readonly #crashReporter: CrashReporter;
  #draining = false;
  #healthy = false;
  /** When the backend server said last that it leaves, if it still does. */
  #serverLeavingSince: number | undefined;
  #tickTimer: NodeJS.Timeout | undefined;

  constructor(options: SidecarOptions) {
    super();
    this.#options = options;
    this.#scheduler = options.scheduler;
    const { instance, suspects, probe } = options;
    this.#crashReporter = new CrashReporter({
      instance,
      suspects,
      probe,
      broadcast: (message) => this.#broadcast(message),
    });
    this.#running = new RunningRequests({
      client: options.client,
      listener: {
        onHead: (status, headers, startedAt) => {
          this.#observeServerLimit(headers, startedAt);
          this.#observeNotices(status, headers, startedAt);
        },
        onFirstToken: (id, now) => this.#scheduler.recordFirstToken(id, now),
        onProgress: (id, outputTokens) =>
          this.#applyDecisions(
            this.#scheduler.recordTokens(id, outputTokens, monotonicNow()),
          ),
      },
      diagnose: (request) =>
        this.#crashReporter.diagnose(fingerprintsOfReserve(request.reserve)),
      onFinished: (request, outcome, now) =>
        this.#finishRun(request, outcome, now),
    });
  }

  /** The current load, as it is sent to entries. */
  get load(): LoadMessage {
    const now = monotonicNow();
    return {
      type: "load",
      running: this.#scheduler.occupied,
      waiting: this.#scheduler.waiting,
      limit: this.#options.concurrencyLimit(),
      ...this.#lowestTier(),
      expectedWait: Math.max(
        this.#options.expectedWait(now),
        this.#scheduler.remainingPause(now),
      ),
      healthy: this.#acceptsRequests && !this.#draining,
    };
  }

  get draining(): boolean {
    return this.#draining;
  }

  /** Adds an entry's connection; sends it the load and the moves' records. */
  addConnection(connection: EntryConnection): void {
    this.#connections.add(connection);
    connection.send(this.load);
    for (const text of this.#options.versionGuard.records) {
      connection.send({ type: "moveRecord", text });
    }
  }

  /** Handles a change of the backend server's health. */
  setHealthy(healthy: boolean): void {
    const now = monotonicNow();
    this.#healthy = healthy;
    this.#options.log.info(
      healthy ? "backend server healthy" : "backend server unhealthy",
    );
    if (this.#acceptsRequests) this.#scheduler.open();
    else {
      this.#applyDecisions(this.#scheduler.close("unhealthy", now));
      if (!healthy) this.#crashReporter.reportCrash(now);
    }
    this.#broadcast(this.load);
  }

  /**
   * Handles the headers of a response, received at `now`, to a request sent at
   * `sentAt`. A server leaves for good, so one whose later response does not
   * say so has been started again.
   */
  observeLeaving(headers: HttpHeaders, sentAt: number, now: number): void {
    const before = this.#serverLeavingSince;
    const leaving = this.#options.notices.statesLeaving(headers);
    if (leaving) this.#serverLeavingSince = now;
    else if (sentAt > (before ?? Infinity)) {
      this.#serverLeavingSince = undefined;
    }
    const changed =
      (before === undefined) !== (this.#serverLeavingSince === undefined);
    if (!changed) return;
    this.#options.log.info(
      leaving ? "backend server leaving" : "backend server no longer leaving",
    );
    if (this.#acceptsRequests) this.#scheduler.open();
    else {
      this.#applyDecisions(this.#scheduler.close("unhealthy", now));
    }
    this.#broadcast(this.load);
  }

  /** Accepts no new work from now on; resolves once no request is running. */
  async drain(): Promise<void> {
    this.#draining = true;
    this.#broadcast({ type: "leaving" });
    this.#applyDecisions(this.#scheduler.close("leaving", monotonicNow()));
    await this.#running.waitUntilIdle();
    for (const connection of this.#connections) connection.end();
    clearTimeout(this.#tickTimer);
  }

  override handleMessage(connection: EntryConnection, message: Message): void {
    switch (message.type) {
      case "reserve":
        return this.#handleReserve(connection, message);
      case "withdraw":
        return this.#handleWithdraw(
          connection.reservationId(message.reservation),
        );
      case "handOver":
        return this.#handleHandOver(connection, message);
      case "cancel":
        return this.#running.cancel(
          connection.reservationId(message.reservation),
        );
      case "crashed":
        return this.#crashReporter.recordCrash(message);
      case "moveRecord":
        return this.#options.versionGuard.receiveRecord(message.text);
      default:
        return this.#options.onOtherMessage(connection, message);
    }
  }

  /**
   * Withdraws the reservations of an entry that disconnected, and cancels its
   * requests except those that can't be retried.
   */
  override handleEnd(connection: EntryConnection): void {
    this.#connections.delete(connection);
    const now = monotonicNow();
    for (const id of this.#reservations.removeConnection(connection)) {
      this.#applyDecisions(this.#scheduler.withdraw(id, now));
    }
    this.#running.cancelForConnection(connection);
  }

  #handleReserve(connection: EntryConnection, reserve: ReserveMessage): void {
    const now = monotonicNow();
    const { service, metrics, suspects, weightOf } = this.#options;
    metrics.reservations.inc({ service });
    const id = connection.reservationId(reserve.reservation);
    const reason = refusalReason(reserve, {
      service,
      draining: this.#draining,
      healthy: this.#acceptsRequests,
      versionStopped: this.#options.versionGuard.isStopped(now),
    });
    if (reason) return this.#refuse(connection, reserve.reservation, reason);
    const verdict = suspects.verdictOf(fingerprintsOfReserve(reserve), now);
    if (verdict.kind === "quarantined") {
      return this.#refuse(connection, reserve.reservation, "quarantined");
    }
    if (this.#reservations.has(id) || this.#running.has(id)) {
      metrics.ignoredMessages.inc({ type: "reserve" });
      return;
    }
    this.#reservations.add(id, { connection, reserve });
    this.#applyDecisions(
      this.#scheduler.reserve({
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
    this.#scheduleTick();
  }

  #handleWithdraw(id: string): void {
    if (!this.#reservations.take(id)) return;
    this.#applyDecisions(this.#scheduler.withdraw(id, monotonicNow()));
  }

  #handleHandOver(
    connection: EntryConnection,
    handOver: HandOverMessage,
  ): void {
    const id = connection.reservationId(handOver.reservation);
    const record = this.#reservations.take(id);
    const redeemed = this.#scheduler.redeem(id, handOver.grant);
    if (!record || !redeemed.valid) {
      // The grant expired, for instance while the entry was paused. The request
      // is not passed on to the server, so it certainly did not run.
      return connection.send({
        type: "failed",
        reservation: handOver.reservation,
        ran: "no",
        reason: "grant_lapsed",
      });
    }
    const { reserve } = record;
    this.#running.start({ id, connection, reserve, handOver });
  }

  #finishRun(
    request: RunningRequest,
    outcome: RunOutcome,
    now: number,
  ): void {
    const { reserve } = request;
    const { suspects } = this.#options;
    if (outcome.kind === "complete") {
      this.#options.onResponseComplete(request.measure(now), now);
      for (const fingerprint of fingerprintsOfReserve(reserve)) {
        suspects.recordCompleteRun(fingerprint, now);
      }
    } else if (outcome.reason === "connect_failed") {
      this.#options.probe().markUnhealthy();
    }
    const { route } = reserve;
    const failed = isServerFailure(outcome);
    this.#options.versionGuard.recordCall({ route, failed }, now, wallNow());
    this.#applyDecisions(
      this.#scheduler.recordEnd(request.id, limitOutcome(outcome), now),
    );
  }

  #applyDecisions(decisions: ReservationDecision[]): void {
    for (const decision of decisions) this.#applyDecision(decision);
  }

  #applyDecision(decision: ReservationDecision): void {
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

  #observeServerLimit(headers: HttpHeaders, startedAt: number): void {
    const now = monotonicNow();
    const { statedServerLimit } = this.#options;
    if (!statedServerLimit.observe(headers, startedAt, now)) return;
    this.#applyDecisions(
      this.#scheduler.setRateLimit(statedServerLimit.perSecond, now),
    );
  }

  #observeNotices(
    status: number,
    headers: HttpHeaders,
    startedAt: number,
  ): void {
    const { notices, log } = this.#options;
    const now = monotonicNow();
    this.observeLeaving(headers, startedAt, now);
    const backoff = notices.requestedBackoff(status, headers);
    if (backoff === 0) return;
    log.info("backend server requests a backoff", { backoff });
    this.#scheduler.pause(backoff, now);
    this.#broadcast(this.load);
  }

  get #acceptsRequests(): boolean {
    return this.#healthy && this.#serverLeavingSince === undefined;
  }

  #broadcast(message: Message): void {
    for (const connection of this.#connections) connection.send(message);
  }

  #lowestTier(): { lowestTierRank?: number } {
    const lowestTierRank = this.#scheduler.lowestTierRank;
    return lowestTierRank === undefined ? {} : { lowestTierRank };
  }

  /**
   * Schedules the next tick. Ticks continue while reservations wait or grants
   * are open; an idle sidecar needs no timer.
   */
  #scheduleTick(): void {
    if (this.#tickTimer || this.#draining) return;
    this.#tickTimer = setTimeout(() => {
      this.#tickTimer = undefined;
      this.#applyDecisions(this.#scheduler.tick(monotonicNow()));
      if (this.#scheduler.waiting > 0 || this.#scheduler.openGrants > 0) {
        this.#scheduleTick();
      }
    }, TICK_INTERVAL);
  }
}

/** Fingerprints of the request; earlier versions of entries state none. */
function fingerprintsOfReserve(
  { fingerprint, promptParts }: ReserveMessage,
): string[] {
  return fingerprint === undefined
    ? []
    : fingerprintsOf({ fingerprint, promptParts: promptParts ?? [] });
}

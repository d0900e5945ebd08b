/**
 * Simulates the sidecar of an engine without its network. Grants, queue, limit
 * and estimates are those of `@sycamorepulley/decisions`.
 * @module
 */
import {
  type ConcurrencyLimit,
  type Cost,
  DrainRate,
  type ObservedLoad,
  type ReservationDecision,
  ReservationScheduler,
  ServiceTimeEstimator,
  TokenLimit,
  WaitingQueue,
  type WaitingReservation,
} from "@sycamorepulley/decisions";
import type { Engine } from "../model/engine.ts";
import { FixedLimit } from "./fixed_limit.ts";
import type { Fleet } from "./fleet.ts";
import type { LateBindingSettings } from "./late_binding_settings.ts";
import type { Reservation, SidecarMessageHandler } from "./reservation.ts";

/** Milliseconds between checks for expired grants and reservations. */
const TICK_INTERVAL = 25;

type HeldReservation = {
  reservation: Reservation;
  waiting: WaitingReservation;
  running: boolean;
  startedAt: number;
  firstTokenAt: number;
  tokens: number;
};

/** One simulated sidecar. */
export class Sidecar {
  readonly #index: number;
  readonly #fleet: Fleet;
  readonly #engine: Engine;
  readonly #settings: LateBindingSettings;
  readonly #entries: readonly SidecarMessageHandler[];
  readonly #reservations = new Map<string, HeldReservation>();
  readonly #limit: ConcurrencyLimit;
  readonly #serviceTimes = new ServiceTimeEstimator();
  readonly #drainRate = new DrainRate();
  readonly #queue: WaitingQueue;
  readonly #scheduler: ReservationScheduler;

  constructor(options: {
    index: number;
    fleet: Fleet;
    settings: LateBindingSettings;
    entries: readonly SidecarMessageHandler[];
  }) {
    this.#index = options.index;
    this.#fleet = options.fleet;
    this.#engine = options.fleet.engines[options.index]!;
    this.#settings = options.settings;
    this.#entries = options.entries;
    const { fixedLimit, queueCapacity } = options.settings;
    this.#limit = fixedLimit === undefined
      ? new TokenLimit()
      : new FixedLimit(fixedLimit);
    this.#queue = new WaitingQueue({
      capacity: queueCapacity,
      serviceTimeOf: (cost) => this.#serviceTime(cost),
    });
    this.#scheduler = new ReservationScheduler({
      queue: this.#queue,
      limit: this.#limit,
    });
    this.#engine.observer = {
      onCrashed: () => this.#handleCrash(),
      onRestarted: () => this.#handleRestart(),
    };
    this.#tick();
  }

  reserve(reservation: Reservation): void {
    const { now } = this.#fleet.loop;
    const waiting = this.#createWaiting(reservation);
    this.#reservations.set(reservation.id, {
      reservation,
      waiting,
      running: false,
      startedAt: now,
      firstTokenAt: now,
      tokens: 0,
    });
    this.#applyDecisions(this.#scheduler.reserve(waiting, now));
  }

  withdraw(id: string): void {
    const held = this.#reservations.get(id);
    if (held === undefined || held.running) return;
    this.#reservations.delete(id);
    this.#applyDecisions(this.#scheduler.withdraw(id, this.#fleet.loop.now));
  }

  handOver(id: string, entry: number, grant: number): void {
    const { loop } = this.#fleet;
    const held = this.#reservations.get(id);
    if (held === undefined || !this.#scheduler.redeem(id, grant).valid) {
      this.#sendToEntry(
        entry,
        (peer) => peer.handleFailure(id, this.#index, "grant_lapsed"),
      );
      return;
    }
    held.running = true;
    held.startedAt = loop.now;
    this.#engine.submit(held.reservation.outcome, {
      onFirstToken: () => this.#handleFirstToken(held),
      onLaterToken: () => {
        held.tokens += 1;
        this.#applyDecisions(this.#scheduler.recordTokens(id, 1, loop.now));
      },
      onFinished: () => this.#handleFinished(held),
      onCrashed: () => this.#handleFailure(held),
    });
  }

  /** Cancels a running request whose caller has given up. */
  cancel(id: string): void {
    const held = this.#reservations.get(id);
    if (held === undefined || !held.running) return;
    this.#engine.cancel(held.reservation.outcome);
    this.#finishRun(held, "cancelled");
  }

  get load(): ObservedLoad {
    const { now } = this.#fleet.loop;
    const work = this.#queue.workAhead(Infinity);
    return {
      running: this.#scheduler.occupied,
      waiting: this.#scheduler.waiting,
      limit: this.#limit.limit,
      lowestTierRank: this.#scheduler.lowestTierRank,
      expectedWait: this.#drainRate.expectedWait(work, now),
      healthy: this.#engine.alive,
    };
  }

  #createWaiting(reservation: Reservation): WaitingReservation {
    const { now } = this.#fleet.loop;
    const { cost, remaining, firstTokenRemaining } = reservation;
    const decoding = this.#serviceTime(cost) - this.#firstTokenTime(cost);
    const timeLeft = this.#settings.firstTokenBound
      ? Math.min(remaining, firstTokenRemaining + decoding)
      : remaining;
    return {
      id: reservation.id,
      tierRank: reservation.tierRank,
      organisation: reservation.organisation,
      weight: 1,
      cost,
      deadline: now + timeLeft,
      suspect: reservation.suspect,
      arrived: now,
    };
  }

  #serviceTime(cost: Cost): number {
    return this.#settings.serviceTimeMargin
      ? this.#serviceTimes.conservativeTotal(cost)
      : this.#serviceTimes.expectedTotal(cost);
  }

  #firstTokenTime(cost: Cost): number {
    return this.#settings.serviceTimeMargin
      ? this.#serviceTimes.conservativeFirstToken(cost)
      : this.#serviceTimes.expectedFirstToken(cost);
  }

  #applyDecisions(decisions: readonly ReservationDecision[]): void {
    for (const decision of decisions) {
      const { id } = decision;
      const held = this.#reservations.get(id);
      if (held === undefined) continue;
      const { entry } = held.reservation;
      if (decision.kind === "grant") {
        const { grant } = decision;
        this.#sendToEntry(
          entry,
          (peer) => peer.handleGrant(id, this.#index, grant),
        );
      } else {
        this.#reservations.delete(id);
        const { reason } = decision;
        this.#sendToEntry(
          entry,
          (peer) => peer.handleRefusal(id, this.#index, reason),
        );
      }
    }
  }

  #handleFirstToken(held: HeldReservation): void {
    const { now } = this.#fleet.loop;
    const { id } = held.waiting;
    held.firstTokenAt = now;
    held.tokens = 1;
    this.#scheduler.recordFirstToken(id, now);
    this.#sendToEntry(
      held.reservation.entry,
      (peer) => peer.handleFirstToken(id, this.#index),
    );
  }

  #handleFinished(held: HeldReservation): void {
    const { now } = this.#fleet.loop;
    const { id, cost } = held.waiting;
    const actual = {
      promptTokens: cost.promptTokens,
      outputTokens: held.tokens,
    };
    this.#queue.correctCharge(held.waiting, actual);
    this.#serviceTimes.observe({
      cost: actual,
      firstToken: held.firstTokenAt - held.startedAt,
      total: now - held.startedAt,
    });
    this.#drainRate.observe(actual.promptTokens + actual.outputTokens, now);
    this.#sendToEntry(
      held.reservation.entry,
      (peer) => peer.handleFinished(id, this.#index),
    );
    this.#finishRun(held, "ok");
  }

  #handleFailure(held: HeldReservation): void {
    const { id } = held.waiting;
    this.#sendToEntry(
      held.reservation.entry,
      (peer) => peer.handleFailure(id, this.#index, "server_crashed"),
    );
    this.#finishRun(held, "failed");
  }

  #finishRun(
    held: HeldReservation,
    outcome: "ok" | "failed" | "cancelled",
  ): void {
    const { id } = held.waiting;
    const { now } = this.#fleet.loop;
    this.#reservations.delete(id);
    this.#applyDecisions(this.#scheduler.recordEnd(id, outcome, now));
  }

  #handleCrash(): void {
    const running = [...this.#reservations.values()].filter((held) =>
      held.running
    );
    const fingerprints = running.map((held) =>
      held.reservation.outcome.request.fingerprint
    );
    for (const index of this.#entries.keys()) {
      this.#sendToEntry(
        index,
        (peer) => peer.handleCrash(fingerprints, this.#index),
      );
    }
    this.#applyDecisions(
      this.#scheduler.close("unhealthy", this.#fleet.loop.now),
    );
  }

  #handleRestart(): void {
    this.#scheduler.open();
    for (const index of this.#entries.keys()) {
      this.#sendToEntry(index, () => {});
    }
  }

  #tick(): void {
    const { loop } = this.#fleet;
    this.#applyDecisions(this.#scheduler.tick(loop.now));
    loop.scheduleAfter(TICK_INTERVAL, () => this.#tick());
  }

  /** Sends a message to the entry, and the current load with it. */
  #sendToEntry(
    entry: number,
    message: (entry: SidecarMessageHandler) => void,
  ): void {
    const { load } = this;
    this.#fleet.send(entry, this.#index, () => {
      const peer = this.#entries[entry]!;
      peer.handleLoad(this.#index, load);
      message(peer);
    });
  }
}

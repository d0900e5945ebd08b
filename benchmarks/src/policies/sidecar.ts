/**
 * The process beside an engine, without its network: grants, queue, limit and
 * estimates are the product's own.
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
import type { Reservation, SidecarPeer } from "./reservation.ts";

/** How often lapsed grants and expired reservations are looked for. */
const TICK = 25;

type Held = {
  reservation: Reservation;
  waiting: WaitingReservation;
  running: boolean;
  startedAt: number;
  firstTokenAt: number;
  tokens: number;
};

/** See the module. */
export class Sidecar {
  readonly #index: number;
  readonly #fleet: Fleet;
  readonly #engine: Engine;
  readonly #settings: LateBindingSettings;
  readonly #entries: readonly SidecarPeer[];
  readonly #held = new Map<string, Held>();
  readonly #limit: ConcurrencyLimit;
  readonly #serviceTimes = new ServiceTimeEstimator();
  readonly #drain = new DrainRate();
  readonly #queue: WaitingQueue;
  readonly #desk: ReservationScheduler;

  constructor(options: {
    index: number;
    fleet: Fleet;
    settings: LateBindingSettings;
    entries: readonly SidecarPeer[];
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
    this.#desk = new ReservationScheduler({
      queue: this.#queue,
      limit: this.#limit,
    });
    this.#engine.observer = {
      onCrashed: () => this.#crashed(),
      onRestarted: () => this.#restarted(),
    };
    this.#tick();
  }

  reserve(reservation: Reservation): void {
    const { now } = this.#fleet.loop;
    const waiting = this.#waiting(reservation);
    this.#held.set(reservation.id, {
      reservation,
      waiting,
      running: false,
      startedAt: now,
      firstTokenAt: now,
      tokens: 0,
    });
    this.#carryOut(this.#desk.reserve(waiting, now));
  }

  withdraw(id: string): void {
    const held = this.#held.get(id);
    if (held === undefined || held.running) return;
    this.#held.delete(id);
    this.#carryOut(this.#desk.withdraw(id, this.#fleet.loop.now));
  }

  handOver(id: string, entry: number, grant: number): void {
    const { loop } = this.#fleet;
    const held = this.#held.get(id);
    if (held === undefined || !this.#desk.redeem(id, grant).valid) {
      this.#tell(entry, (peer) => peer.failed(id, this.#index, "grant_lapsed"));
      return;
    }
    held.running = true;
    held.startedAt = loop.now;
    this.#engine.submit(held.reservation.outcome, {
      onFirstToken: () => this.#firstToken(held),
      onProgress: () => {
        held.tokens += 1;
        this.#carryOut(this.#desk.progressed(id, 1, loop.now));
      },
      onFinished: () => this.#finished(held),
      onCrashed: () => this.#failed(held),
    });
  }

  /** The caller left. */
  cancel(id: string): void {
    const held = this.#held.get(id);
    if (held === undefined || !held.running) return;
    this.#engine.cancel(held.reservation.outcome);
    this.#end(held, "cancelled");
  }

  get load(): ObservedLoad {
    const { now } = this.#fleet.loop;
    const work = this.#queue.workAhead(Infinity);
    return {
      running: this.#desk.occupied,
      waiting: this.#desk.waiting,
      limit: this.#limit.limit,
      lowestTierRank: this.#desk.lowestTierRank,
      expectedWait: this.#drain.expectedWait(work, now),
      healthy: this.#engine.alive,
    };
  }

  #waiting(reservation: Reservation): WaitingReservation {
    const { now } = this.#fleet.loop;
    const { cost, remaining, firstTokenRemaining } = reservation;
    const decoding = this.#serviceTime(cost) - this.#firstTokenTime(cost);
    const whole = this.#settings.firstTokenBound
      ? Math.min(remaining, firstTokenRemaining + decoding)
      : remaining;
    return {
      id: reservation.id,
      tierRank: reservation.tierRank,
      organisation: reservation.organisation,
      weight: 1,
      cost,
      deadline: now + whole,
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

  #carryOut(decisions: readonly ReservationDecision[]): void {
    for (const decision of decisions) {
      const { id } = decision;
      const held = this.#held.get(id);
      if (held === undefined) continue;
      const { entry } = held.reservation;
      if (decision.kind === "grant") {
        const { grant } = decision;
        this.#tell(entry, (peer) => peer.granted(id, this.#index, grant));
      } else {
        this.#held.delete(id);
        const { reason } = decision;
        this.#tell(entry, (peer) => peer.refused(id, this.#index, reason));
      }
    }
  }

  #firstToken(held: Held): void {
    const { now } = this.#fleet.loop;
    const { id } = held.waiting;
    held.firstTokenAt = now;
    held.tokens = 1;
    this.#desk.firstToken(id, now);
    this.#tell(
      held.reservation.entry,
      (peer) => peer.firstToken(id, this.#index),
    );
  }

  #finished(held: Held): void {
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
    this.#drain.observe(actual.promptTokens + actual.outputTokens, now);
    this.#tell(
      held.reservation.entry,
      (peer) => peer.finished(id, this.#index),
    );
    this.#end(held, "ok");
  }

  #failed(held: Held): void {
    const { id } = held.waiting;
    this.#tell(
      held.reservation.entry,
      (peer) => peer.failed(id, this.#index, "server_crashed"),
    );
    this.#end(held, "failed");
  }

  #end(held: Held, outcome: "ok" | "failed" | "cancelled"): void {
    const { id } = held.waiting;
    const { now } = this.#fleet.loop;
    this.#held.delete(id);
    this.#carryOut(this.#desk.finished(id, outcome, now));
  }

  #crashed(): void {
    const running = [...this.#held.values()].filter((one) => one.running);
    const fingerprints = running.map((one) =>
      one.reservation.outcome.request.fingerprint
    );
    for (const index of this.#entries.keys()) {
      this.#tell(index, (peer) => peer.crashed(fingerprints, this.#index));
    }
    this.#carryOut(this.#desk.close("unhealthy", this.#fleet.loop.now));
  }

  #restarted(): void {
    this.#desk.open();
    for (const index of this.#entries.keys()) this.#tell(index, () => {});
  }

  #tick(): void {
    const { loop } = this.#fleet;
    this.#carryOut(this.#desk.tick(loop.now));
    loop.after(TICK, () => this.#tick());
  }

  #tell(entry: number, message: (entry: SidecarPeer) => void): void {
    const { load } = this;
    this.#fleet.send(entry, this.#index, () => {
      const peer = this.#entries[entry]!;
      peer.observeLoad(this.#index, load);
      message(peer);
    });
  }
}

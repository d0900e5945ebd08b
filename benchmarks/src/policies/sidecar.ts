/**
 * The process beside an engine, without its network: queue, limit and
 * estimates are the product's own.
 * @module
 */
import {
  type ConcurrencyLimit,
  DrainRate,
  type ObservedLoad,
  ServiceTimeEstimator,
  TokenLimit,
  type Waiting,
  WaitingQueue,
} from "@sycamorepulley/decisions";
import type { Engine } from "../model/engine.ts";
import type { Outcome } from "../model/outcome.ts";
import { FixedLimit } from "./fixed_limit.ts";
import type { Fleet } from "./fleet.ts";
import type { LateBindingSettings } from "./late_binding_settings.ts";
import type { Reservation, SidecarPeer } from "./reservation.ts";

/** An unanswered grant gives its room back after so many milliseconds. */
const GRANT_LAPSE = 50;
/** How often those that can no longer be served in time are told. */
const EXPIRY_INTERVAL = 25;

type Held = {
  reservation: Reservation;
  waiting: Waiting;
  state: "waiting" | "granted" | "running";
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
  #runningSuspect: string | undefined;

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
      serviceTimeOf: (cost) => this.#serviceTimes.expected(cost),
    });
    this.#engine.observer = {
      onCrashed: () => this.#crashed(),
      onRestarted: () => this.#restarted(),
    };
    this.#expireRegularly();
  }

  reserve(reservation: Reservation): void {
    if (!this.#engine.alive) {
      this.#refuse(reservation, "unhealthy");
      return;
    }
    const { now } = this.#fleet.loop;
    const waiting = this.#waiting(reservation);
    const offer = this.#queue.offer(waiting, now);
    if (!offer.queued) {
      this.#refuse(reservation, offer.reason);
      return;
    }
    this.#held.set(reservation.id, {
      reservation,
      waiting,
      state: "waiting",
      startedAt: now,
      firstTokenAt: now,
      tokens: 0,
    });
    for (const { id } of offer.evicted) this.#drop(id, "evicted");
    this.#grant();
  }

  withdraw(id: string): void {
    const held = this.#held.get(id);
    if (held === undefined || held.state === "running") return;
    this.#held.delete(id);
    if (held.state === "waiting") this.#queue.withdraw(id);
    else this.#returnRoom(held);
    this.#grant();
  }

  handOver(id: string): void {
    const { loop } = this.#fleet;
    const held = this.#held.get(id);
    if (held === undefined || held.state !== "granted") {
      this.#tell(entryOf(id), (entry) => entry.refused(id, this.#index, "grant_lapsed"));
      return;
    }
    held.state = "running";
    held.startedAt = loop.now;
    this.#engine.submit(held.reservation.outcome, {
      onFirstToken: () => this.#firstToken(held),
      onProgress: () => {
        held.tokens += 1;
        this.#limit.progressed(id, 1, loop.now);
      },
      onFinished: () => this.#finished(held),
      onCrashed: () => this.#failed(held),
    });
  }

  /** The caller left. */
  cancel(id: string, outcome: Outcome): void {
    const held = this.#held.get(id);
    if (held === undefined || held.state !== "running") return;
    this.#engine.cancel(outcome);
    this.#end(held, "cancelled");
    this.#grant();
  }

  get load(): ObservedLoad {
    const { now } = this.#fleet.loop;
    const work = this.#queue.workAhead(Infinity);
    return {
      running: this.#limit.running,
      waiting: this.#queue.size,
      limit: this.#limit.limit,
      lowestTierRank: this.#queue.lowestTierRank(),
      expectedWait: this.#drain.expectedWait(work, now),
      healthy: this.#engine.alive,
    };
  }

  #waiting(reservation: Reservation): Waiting {
    const { now } = this.#fleet.loop;
    const { cost, remaining, firstTokenRemaining } = reservation;
    const decoding = this.#serviceTimes.expected(cost) -
      this.#serviceTimes.expectedFirstToken(cost);
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

  #grant(): void {
    const { loop } = this.#fleet;
    while (this.#engine.alive && this.#runningSuspect === undefined) {
      const waiting = this.#queue.take(
        loop.now,
        (one) => this.#limit.admits(one),
      );
      if (waiting === undefined) return;
      const held = this.#held.get(waiting.id)!;
      held.state = "granted";
      if (waiting.suspect) this.#runningSuspect = waiting.id;
      this.#limit.started(waiting.id, waiting.cost, loop.now);
      this.#tell(
        held.reservation.entry,
        (entry) => entry.granted(waiting.id, this.#index),
      );
      loop.after(GRANT_LAPSE, () => this.#lapse(held));
    }
  }

  #lapse(held: Held): void {
    if (held.state !== "granted") return;
    if (this.#held.get(held.waiting.id) !== held) return;
    this.#held.delete(held.waiting.id);
    this.#returnRoom(held);
    this.#grant();
  }

  #returnRoom(held: Held): void {
    const { id } = held.waiting;
    this.#limit.finished(id, "cancelled", this.#fleet.loop.now);
    this.#queue.settle(held.waiting, { promptTokens: 0, outputTokens: 0 });
    if (this.#runningSuspect === id) this.#runningSuspect = undefined;
  }

  #firstToken(held: Held): void {
    const { loop } = this.#fleet;
    const { id } = held.waiting;
    held.firstTokenAt = loop.now;
    held.tokens = 1;
    this.#limit.firstToken(id, loop.now);
    this.#tell(
      held.reservation.entry,
      (entry) => entry.firstToken(id, this.#index),
    );
    this.#grant();
  }

  #finished(held: Held): void {
    const { now } = this.#fleet.loop;
    const { id, cost } = held.waiting;
    this.#end(held, "ok");
    const actual = {
      promptTokens: cost.promptTokens,
      outputTokens: held.tokens,
    };
    this.#queue.settle(held.waiting, actual);
    this.#serviceTimes.observe({
      cost: actual,
      firstToken: held.firstTokenAt - held.startedAt,
      total: now - held.startedAt,
    });
    this.#drain.observe(actual.promptTokens + actual.outputTokens, now);
    this.#tell(
      held.reservation.entry,
      (entry) => entry.finished(id, this.#index),
    );
    this.#grant();
  }

  #failed(held: Held): void {
    this.#end(held, "failed");
    const { id } = held.waiting;
    this.#tell(
      held.reservation.entry,
      (entry) => entry.failed(id, this.#index),
    );
  }

  #end(held: Held, outcome: "ok" | "failed" | "cancelled"): void {
    const { id } = held.waiting;
    this.#held.delete(id);
    this.#limit.finished(id, outcome, this.#fleet.loop.now);
    if (this.#runningSuspect === id) this.#runningSuspect = undefined;
  }

  #crashed(): void {
    const held = [...this.#held.values()];
    const fingerprints = held.filter((one) => one.state === "running")
      .map((one) => one.reservation.outcome.request.fingerprint);
    for (const index of this.#entries.keys()) {
      this.#tell(index, (entry) => entry.crashed(fingerprints, this.#index));
    }
    for (const one of held) {
      if (one.state === "running") continue;
      if (one.state === "waiting") this.#queue.withdraw(one.waiting.id);
      else this.#returnRoom(one);
      this.#drop(one.waiting.id, "unhealthy");
    }
  }

  #restarted(): void {
    for (const index of this.#entries.keys()) this.#tell(index, () => {});
  }

  #drop(id: string, reason: string): void {
    const held = this.#held.get(id);
    if (held === undefined) return;
    this.#held.delete(id);
    this.#refuse(held.reservation, reason);
  }

  #refuse({ id, entry }: Reservation, reason: string): void {
    this.#tell(entry, (peer) => peer.refused(id, this.#index, reason));
  }

  #expireRegularly(): void {
    const { loop } = this.#fleet;
    for (const { id } of this.#queue.expire(loop.now)) {
      this.#drop(id, "deadline");
    }
    loop.after(EXPIRY_INTERVAL, () => this.#expireRegularly());
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

/** Reservations carry their entry's number before the first "/". */
function entryOf(id: string): number {
  return Number(id.slice(0, id.indexOf("/")));
}

/**
 * Drives the roll-outs of this entry's group: turns the conclusions of the
 * granting entry into outcomes, and stores them.
 *
 * The granting entry writes. If the store rejects it, or it is lost, another
 * entry that knows the outcome does so after a while.
 * @module
 */
import type { RolloutReport } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { StoreContact } from "../state/store_contact.ts";
import { isFinal } from "./known_rollouts.ts";
import type {
  Conclusion,
  KnownRollout,
  KnownRollouts,
  RolloutProgress,
} from "./known_rollouts.ts";
import type { StatusRecords } from "./status_records.ts";
import { StatusWriter } from "./status_writer.ts";

/**
 * Milliseconds from the announcement of a success until it is written. The
 * platform then stops the servers of other versions without draining them, so
 * all entries have to know.
 */
const ANNOUNCEMENT_TIME = 300;
/**
 * Milliseconds before the time limit at which a success is written although
 * entries that can't be reached may still use the other versions.
 */
const DIVIDED_MARGIN = 2500;
/** Milliseconds after which another entry writes, and the same for each rank. */
const TAKEOVER_DELAY = 1000;
const TAKEOVER_INTERVAL = 400;
/** Milliseconds since the last response of a store that counts as available. */
const AVAILABLE_FOR = 2500;
/** Milliseconds between reads while entries can't reach each other. */
const DIVIDED_READ_INTERVAL = 1000;

/** What the driver needs to know of its entry and its group. */
export abstract class DriverView {
  /** Conclusions of this entry; empty unless it grants for its group. */
  abstract reports(): RolloutReport[];
  abstract isGranting(): boolean;
  /** Some registered entry can't be reached. */
  abstract isDivided(): boolean;
  /** Rank of this entry by name among the connected ones. */
  abstract rank(): number;
  /** Milliseconds since the store responded to any entry of the group. */
  abstract storeContactAge(): number;
  /** A roll-out has another outcome now. */
  abstract onConclusion(): void;
}

export class RolloutDriver {
  readonly #rollouts: KnownRollouts;
  readonly #records: StatusRecords;
  readonly #contact: StoreContact;
  readonly #view: DriverView;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #writers = new Map<string, StatusWriter>();
  /** Time at which each running roll-out's status was read last. */
  readonly #readAt = new Map<string, number>();
  readonly #loggedShares = new Map<string, string>();
  #wasGranting = false;
  #restoredAt = -Infinity;

  constructor(options: {
    rollouts: KnownRollouts;
    records: StatusRecords;
    contact: StoreContact;
    view: DriverView;
    log: EventLog;
    clock: () => number;
  }) {
    this.#rollouts = options.rollouts;
    this.#records = options.records;
    this.#contact = options.contact;
    this.#view = options.view;
    this.#log = options.log;
    this.#clock = options.clock;
    options.contact.onRestore((now) => {
      this.#restoredAt = now;
      for (const writer of this.#writers.values()) writer.forget();
    });
  }

  /** Adopts new conclusions and stores them where that is due. */
  tick(): void {
    const rollouts = this.#rollouts.active();
    if (rollouts.length === 0) return;
    const isGranting = this.#view.isGranting();
    // The granting entry before may have written an outcome.
    if (isGranting && !this.#wasGranting) this.#readAt.clear();
    this.#wasGranting = isGranting;
    for (const report of this.#view.reports()) this.#adopt(report);
    for (const { service } of rollouts) this.#store(service);
  }

  #adopt(report: RolloutReport): void {
    const { service, target, outcome } = report;
    const rollout = this.#rollouts.find(service);
    if (rollout?.target !== target) return;
    this.#logShare(report);
    if (rollout.progress !== "running") return;
    if (outcome === "rolled_back") {
      this.#conclude(rollout, "rolled_back", report);
    } else if (outcome === "succeeded" && this.#mayComplete(rollout)) {
      this.#conclude(rollout, "completing", report);
    }
  }

  /**
   * A success that can't be stored soon is not announced: until it is, the
   * service can return to its other versions.
   */
  #mayComplete({ orderedAt, duration }: KnownRollout): boolean {
    if (this.#view.storeContactAge() >= AVAILABLE_FOR) return false;
    const remaining = orderedAt + duration - this.#clock();
    return !this.#view.isDivided() || remaining < DIVIDED_MARGIN;
  }

  #conclude(
    { service, target }: KnownRollout,
    progress: RolloutProgress,
    { reason, share, evidence }: RolloutReport,
  ): void {
    const now = this.#clock();
    if (!this.#rollouts.conclude(service, target, { progress }, now)) return;
    this.#log.write({
      event: "rollout_concluded",
      service,
      target,
      progress,
      reason,
      share,
      evidence,
    });
    this.#view.onConclusion();
  }

  #logShare({ service, target, share, reason }: RolloutReport): void {
    const shown = `${target} ${share}`;
    if (this.#loggedShares.get(service) === shown) return;
    this.#loggedShares.set(service, shown);
    this.#log.write({
      event: "rollout_stage",
      service,
      target,
      share,
      reason,
    });
  }

  #store(service: string): void {
    const rollout = this.#rollouts.find(service);
    if (rollout === undefined) return;
    const now = this.#clock();
    if (this.#isStored(rollout)) {
      if (this.#isReadDue(rollout, now)) void this.#read(rollout, now);
      return;
    }
    if (!this.#isResponsible(rollout, now)) return;
    const announcedFor = now - rollout.concludedAt;
    const isAnnounced = rollout.progress !== "completing" ||
      announcedFor >= ANNOUNCEMENT_TIME;
    if (!isAnnounced) return;
    this.#readAt.set(service, now);
    void this.#writer(service).write(rollout);
  }

  async #read(rollout: KnownRollout, now: number): Promise<void> {
    const { service } = rollout;
    this.#readAt.set(service, now);
    if (!await this.#writer(service).read(rollout)) {
      this.#readAt.delete(service);
    }
  }

  #isStored({ progress, storedEra }: KnownRollout): boolean {
    return progress !== "pending" && progress !== "completing" &&
      storedEra !== undefined && storedEra === this.#contact.era;
  }

  /** An outcome may be written by an entry that can't be reached. */
  #isReadDue({ service, progress }: KnownRollout, now: number): boolean {
    if (!this.#wasGranting || isFinal(progress)) return false;
    const readAt = this.#readAt.get(service);
    if (readAt === undefined) return true;
    return this.#view.isDivided() && now - readAt >= DIVIDED_READ_INTERVAL;
  }

  #isResponsible({ concludedAt }: KnownRollout, now: number): boolean {
    if (this.#wasGranting) return true;
    const delay = TAKEOVER_DELAY + this.#view.rank() * TAKEOVER_INTERVAL;
    const since = Math.max(concludedAt, this.#restoredAt);
    const { age = Infinity } = this.#contact;
    return now - since >= delay && age < AVAILABLE_FOR;
  }

  #writer(service: string): StatusWriter {
    let writer = this.#writers.get(service);
    if (writer === undefined) {
      writer = new StatusWriter({
        records: this.#records,
        log: this.#log,
        clock: this.#clock,
        onStored: (rollout, stored) => this.#adoptStored(rollout, stored),
      });
      this.#writers.set(service, writer);
    }
    return writer;
  }

  #adoptStored(
    { service, target, position }: KnownRollout,
    stored: Conclusion,
  ): void {
    // The order may have been replaced since the call began.
    const current = this.#rollouts.find(service);
    if (current?.position.revision !== position.revision) return;
    const before = current.progress;
    const now = this.#clock();
    if (!this.#rollouts.conclude(service, target, stored, now)) return;
    const { progress } = stored;
    this.#log.write({
      event: "rollout_outcome",
      service,
      target,
      progress,
      before,
    });
    this.#view.onConclusion();
  }
}

/**
 * Keeps the stored status of one service's roll-out in step with what this
 * entry has concluded.
 *
 * Each write replaces the status that was read last, so that of two entries
 * only one succeeds. A write without a response may be executed later: the
 * status is read again before the next one.
 * @module
 */
import type { StorePosition } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { RolloutStatus } from "../state/record_codec.ts";
import type { Conclusion, KnownRollout } from "./known_rollouts.ts";
import type { StatusRecords } from "./status_records.ts";

/** Milliseconds until a failed step is repeated: the first and the maximum. */
const INITIAL_BACKOFF = 50;
const MAXIMUM_BACKOFF = 800;

/** Called with what the store holds on the target of the roll-out. */
export type StoredCallback = (
  rollout: KnownRollout,
  stored: Conclusion,
) => void;

export class StatusWriter {
  readonly #records: StatusRecords;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #onStored: StoredCallback;
  /** Position of the stored status; `undefined` if it has to be read. */
  #position: StorePosition | undefined;
  #busy = false;
  #nextAt = -Infinity;
  #backoff = INITIAL_BACKOFF;

  constructor(options: {
    records: StatusRecords;
    log: EventLog;
    clock: () => number;
    onStored: StoredCallback;
  }) {
    this.#records = options.records;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#onStored = options.onStored;
  }

  /**
   * Reads the status, unless a call is pending or has just failed. Resolves to
   * true if it was read.
   */
  read(rollout: KnownRollout): Promise<boolean> {
    return this.#step(() => this.#read(rollout));
  }

  /** Writes what is known of the roll-out, in place of what was read. */
  async write(rollout: KnownRollout): Promise<void> {
    await this.#step(async () => {
      const { progress } = rollout;
      if (progress === "pending") return await this.#read(rollout);
      if (this.#position === undefined) return await this.#read(rollout);
      const state = progress === "completing" ? "succeeded" : progress;
      const status = { target: rollout.target, state };
      return await this.#write(rollout, status, this.#position);
    });
  }

  /** Discards what was read of a store that has been restored since. */
  forget(): void {
    this.#position = undefined;
    this.#nextAt = -Infinity;
  }

  async #step(step: () => Promise<boolean>): Promise<boolean> {
    if (this.#busy || this.#clock() < this.#nextAt) return false;
    this.#busy = true;
    const succeeded = await step();
    this.#busy = false;
    if (succeeded) {
      this.#backoff = INITIAL_BACKOFF;
      return true;
    }
    this.#position = undefined;
    this.#nextAt = this.#clock() + this.#backoff;
    this.#backoff = Math.min(MAXIMUM_BACKOFF, 2 * this.#backoff);
    return false;
  }

  async #read(rollout: KnownRollout): Promise<boolean> {
    const { service, target, progress } = rollout;
    const stored = await this.#records.read(service);
    if (stored === undefined) return false;
    const { status, position } = stored;
    this.#position = position;
    if (status?.target !== target) {
      // Nothing was concluded on this target before.
      if (progress === "pending") {
        this.#onStored(rollout, { progress: "running" });
      }
      return true;
    }
    const { state } = status;
    this.#onStored(rollout, { progress: state, storedEra: position.era });
    return true;
  }

  async #write(
    rollout: KnownRollout,
    status: RolloutStatus,
    replaces: StorePosition,
  ): Promise<boolean> {
    const { service, position: order } = rollout;
    const position = await this.#records
      .write({ service, status, replaces, order });
    if (position === undefined) return false;
    this.#position = position;
    const { state, target } = status;
    this.#log.write({
      event: "rollout_status_written",
      service,
      target,
      state,
      ...position,
    });
    this.#onStored(rollout, { progress: state, storedEra: position.era });
    return true;
  }
}

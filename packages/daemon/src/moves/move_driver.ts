/**
 * Drives one move while this process holds the move's lease: evaluates the
 * evidence of all entries and writes each step of the move's record by
 * compare-and-swap.
 *
 * Handles these failures:
 * - The driver crashes: its lease expires and another process takes over.
 * - The driver is paused for longer than its lease lasts: its successor has
 *   raised the fencing number by writing the record, so the compare-and-swap of
 *   the paused driver finds another revision and changes nothing.
 * - The response to a write is lost: the record is read again before the next
 *   step.
 * @module
 */
import { mergeEvidence, MoveJudge, nextStep } from "@sycamorepulley/decisions";
import type { MoveRecord, RouteEvidence } from "@sycamorepulley/decisions";
import type { Move } from "@sycamorepulley/configuration";
import type { KeyValueStore } from "@sycamorepulley/store";
import type { Log } from "../common/log.ts";
import {
  decodeStoredMove,
  driverKey,
  encodeStoredMove,
  initialRecord,
  moveKey,
} from "./stored_move.ts";
import type { StoredMove } from "./stored_move.ts";

/** Milliseconds after which a driver's lease expires unless it is renewed. */
const LEASE_TTL = 8000;

/** Instance that drives a move, and the address where it gets evidence. */
export type DriverAddress = { instance: string; host: string; port: number };

/** Options of {@link MoveDriver}. */
export type MoveDriverOptions = {
  move: Move;
  store: KeyValueStore;
  ownAddress: DriverAddress;
  /** Returns the share, 0 to 1, of requests that the new version can carry. */
  capacityShare: () => number;
  /** Called with each record that was read or written. */
  onRecord: (stored: StoredMove) => void;
  log: Log;
};

/** Competes for the lease of one move and drives the move while it holds it. */
export class MoveDriver {
  readonly #options: MoveDriverOptions;
  #judge = new MoveJudge();
  #evidence: RouteEvidence[] = [];
  #lease: string | undefined;
  #stored: StoredMove | undefined;
  /**
   * Revision of the record's key in the store; `undefined` if it has to be read
   * first.
   */
  #keyRevision: number | undefined;
  /** Era of the store in which the record was read or written last. */
  #keyEra = 0;
  /** Whether this driver has written the record with its own fencing number. */
  #hasRaisedFencing = false;

  constructor(options: MoveDriverOptions) {
    this.#options = options;
  }

  get isDriving(): boolean {
    return this.#lease !== undefined;
  }

  /** Adds the evidence of an entry, which may be this one. */
  addEvidence(evidence: RouteEvidence[]): void {
    this.#evidence.push(...evidence);
  }

  /**
   * Runs one round: acquires or renews the lease, then takes the next step if
   * one is due. `now` is the wall-clock time.
   */
  async runRound(now: number): Promise<void> {
    const evidence = mergeEvidence(this.#evidence.splice(0));
    // Without the lease this process only reports its evidence to the driver.
    if (!await this.#ensureLease()) return;
    if (this.#keyRevision === undefined && !await this.#readRecord(now)) return;
    this.#judge.observe(evidence, now);
    await this.#advance(now);
  }

  /** Revokes the lease, so that another process can take over at once. */
  async stop(): Promise<void> {
    if (this.#lease === undefined) return;
    const lease = this.#lease;
    this.#lease = undefined;
    await this.#options.store.revokeLease(lease);
  }

  async #ensureLease(): Promise<boolean> {
    const { store } = this.#options;
    if (this.#lease !== undefined) {
      const renewed = await store.renewLease(this.#lease);
      if (renewed.isOk && renewed.value) return true;
      this.#handleLostLease();
      return false;
    }
    return await this.#acquireLease();
  }

  async #acquireLease(): Promise<boolean> {
    const { store, move, ownAddress, log } = this.#options;
    const key = driverKey(move.name);
    const held = await store.get(key);
    if (held.isErr || held.value !== undefined) return false;
    const lease = await store.grantLease(LEASE_TTL);
    if (lease.isErr) return false;
    const swapped = await store.compareAndSwap({
      key,
      expected: 0,
      value: JSON.stringify(ownAddress),
      lease: lease.value,
    });
    if (swapped.isErr || !swapped.value.swapped) {
      // If the write took effect but its response was lost, the key is deleted
      // with its lease, which is never renewed.
      await store.revokeLease(lease.value);
      return false;
    }
    this.#lease = lease.value;
    this.#keyRevision = undefined;
    this.#hasRaisedFencing = false;
    log.info("driving move", { move: move.name });
    return true;
  }

  #handleLostLease(): void {
    this.#lease = undefined;
    this.#keyRevision = undefined;
    this.#options.log.warn("lost the lease of a move", {
      move: this.#options.move.name,
    });
  }

  async #readRecord(now: number): Promise<boolean> {
    const { store, move } = this.#options;
    const found = await store.get(moveKey(move.name));
    if (found.isErr) return false;
    this.#keyRevision = found.value?.revision ?? 0;
    this.#keyEra = store.era;
    const stored = found.value
      ? decodeStoredMove(found.value.value)
      : undefined;
    this.#stored = stored ??
      { revision: 0, record: initialRecord(move, now) };
    if (stored) this.#options.onRecord(stored);
    if (!this.#hasRaisedFencing) this.#restoreEvidence(now);
    return true;
  }

  /** Continues from the counts that the previous driver wrote to the record. */
  #restoreEvidence(now: number): void {
    this.#judge = new MoveJudge();
    this.#judge.observe(this.#stored?.record.evidence ?? [], now);
  }

  async #advance(now: number): Promise<void> {
    const current = this.#stored?.record;
    if (!current) return;
    const inputs = {
      verdict: this.#judge.verdict,
      evidence: this.#judge.totals,
      capacityShare: this.#options.capacityShare(),
    };
    const next = nextStep(current, inputs, now);
    if (next) {
      return await this.#writeRecord({
        ...next,
        ...this.#fencingFields(current),
      });
    }
    // A new driver raises the fencing number at once, even if no step is due,
    // so that its predecessor can no longer write.
    if (!this.#hasRaisedFencing) {
      await this.#writeRecord({ ...current, ...this.#fencingFields(current) });
    }
  }

  #fencingFields(current: MoveRecord): { fencing: number } {
    return {
      fencing: this.#hasRaisedFencing ? current.fencing : current.fencing + 1,
    };
  }

  async #writeRecord(record: MoveRecord): Promise<void> {
    const { store, move, log, onRecord } = this.#options;
    const stored = { revision: (this.#stored?.revision ?? 0) + 1, record };
    const swapped = await store.compareAndSwap({
      key: moveKey(move.name),
      expected: this.#keyRevision ?? 0,
      era: this.#keyEra,
      value: encodeStoredMove(stored),
    });
    if (swapped.isErr || !swapped.value.swapped) {
      // The response was lost, or another process wrote first: the record is
      // read again before the next write.
      this.#keyRevision = undefined;
      return;
    }
    const before = this.#stored?.record.phase;
    this.#keyRevision = swapped.value.revision;
    this.#stored = stored;
    this.#hasRaisedFencing = true;
    onRecord(stored);
    if (before === record.phase) return;
    log.info("move", { move: move.name, phase: record.phase });
  }
}

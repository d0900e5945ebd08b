/**
 * Drives one move while it holds the move's lease: judges the evidence of all
 * entries and writes each step by compare-and-swap.
 *
 * Failures it guards against: a driver that dies (its lease lapses and another
 * takes over), one that pauses past its lease and wakes (the successor has
 * raised the fencing number by writing the record, so the sleeper's swap finds
 * another revision and changes nothing), and a write whose answer is lost (the
 * record is read again before the next step).
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
  firstRecord,
  moveKey,
} from "./stored_move.ts";
import type { StoredMove } from "./stored_move.ts";

/** Milliseconds that a driver's lease lasts unrenewed. */
const LEASE_DURATION = 8000;

/** Who drives and where it takes evidence. */
export type DriverAddress = { instance: string; host: string; port: number };

/** Options of {@link MoveDriver}. */
export type MoveDriverOptions = {
  move: Move;
  store: KeyValueStore;
  self: DriverAddress;
  /** Largest share of requests that the new version can carry, 0 to 1. */
  room: () => number;
  onRecord: (stored: StoredMove) => void;
  log: Log;
};

/** One process's part in driving one move. */
export class MoveDriver {
  readonly #options: MoveDriverOptions;
  #judge = new MoveJudge();
  #evidence: RouteEvidence[] = [];
  #lease: string | undefined;
  #stored: StoredMove | undefined;
  /** The store's own revision of the record's key; undefined when unsure. */
  #keyRevision: number | undefined;
  #fenced = false;

  constructor(options: MoveDriverOptions) {
    this.#options = options;
  }

  get driving(): boolean {
    return this.#lease !== undefined;
  }

  /** Evidence of one entry, this one's own included. */
  observe(evidence: RouteEvidence[]): void {
    this.#evidence.push(...evidence);
  }

  /** One round: takes or renews the lease, then the next step if one is due. */
  async step(now: number): Promise<void> {
    const evidence = mergeEvidence(this.#evidence.splice(0));
    // Without the lease this process reports to the driver and judges nothing.
    if (!await this.#holdLease()) return;
    if (this.#keyRevision === undefined && !await this.#read(now)) return;
    this.#judge.observe(evidence, now);
    await this.#advance(now);
  }

  /** Gives the lease up, so that another may drive at once. */
  async stop(): Promise<void> {
    if (this.#lease === undefined) return;
    const lease = this.#lease;
    this.#lease = undefined;
    await this.#options.store.revokeLease(lease);
  }

  async #holdLease(): Promise<boolean> {
    const { store } = this.#options;
    if (this.#lease !== undefined) {
      const renewed = await store.renewLease(this.#lease);
      if (renewed.isOk && renewed.value) return true;
      this.#loseLease();
      return false;
    }
    return await this.#takeLease();
  }

  async #takeLease(): Promise<boolean> {
    const { store, move, self, log } = this.#options;
    const key = driverKey(move.name);
    const held = await store.get(key);
    if (held.isErr || held.value !== undefined) return false;
    const lease = await store.grantLease(LEASE_DURATION);
    if (lease.isErr) return false;
    const swapped = await store.compareAndSwap({
      key,
      expected: 0,
      value: JSON.stringify(self),
      lease: lease.value,
    });
    if (swapped.isErr || !swapped.value.swapped) {
      // If the write took effect with its answer lost, the key goes with the
      // lease that is never renewed.
      await store.revokeLease(lease.value);
      return false;
    }
    this.#lease = lease.value;
    this.#keyRevision = undefined;
    this.#fenced = false;
    log.info("driving move", { move: move.name });
    return true;
  }

  #loseLease(): void {
    this.#lease = undefined;
    this.#keyRevision = undefined;
    this.#options.log.warn("lost the lease of a move", {
      move: this.#options.move.name,
    });
  }

  async #read(now: number): Promise<boolean> {
    const { store, move } = this.#options;
    const found = await store.get(moveKey(move.name));
    if (found.isErr) return false;
    this.#keyRevision = found.value?.revision ?? 0;
    const stored = found.value
      ? decodeStoredMove(found.value.value)
      : undefined;
    this.#stored = stored ??
      { revision: 0, record: firstRecord(move, now) };
    if (stored) this.#options.onRecord(stored);
    if (!this.#fenced) this.#takeOverEvidence(now);
    return true;
  }

  /** A new driver goes on from what its predecessor had counted. */
  #takeOverEvidence(now: number): void {
    this.#judge = new MoveJudge();
    this.#judge.observe(this.#stored?.record.evidence ?? [], now);
  }

  async #advance(now: number): Promise<void> {
    const current = this.#stored?.record;
    if (!current) return;
    const facts = {
      verdict: this.#judge.verdict,
      evidence: this.#judge.totals,
      capacityShare: this.#options.room(),
    };
    const next = nextStep(current, facts, now);
    if (next) return await this.#write({ ...next, ...this.#fence(current) });
    // The first write of a driver raises the fencing number even without a
    // step, so that its predecessor can't write any more.
    if (!this.#fenced) {
      await this.#write({ ...current, ...this.#fence(current) });
    }
  }

  #fence(current: MoveRecord): { fencing: number } {
    return { fencing: this.#fenced ? current.fencing : current.fencing + 1 };
  }

  async #write(record: MoveRecord): Promise<void> {
    const { store, move, log, onRecord } = this.#options;
    const stored = { revision: (this.#stored?.revision ?? 0) + 1, record };
    const swapped = await store.compareAndSwap({
      key: moveKey(move.name),
      expected: this.#keyRevision ?? 0,
      value: encodeStoredMove(stored),
    });
    if (swapped.isErr || !swapped.value.swapped) {
      // Lost answer or lost race: read before anything else is written.
      this.#keyRevision = undefined;
      return;
    }
    const before = this.#stored?.record.phase;
    this.#keyRevision = swapped.value.revision;
    this.#stored = stored;
    this.#fenced = true;
    onRecord(stored);
    if (before === record.phase) return;
    log.info("move", { move: move.name, phase: record.phase });
  }
}

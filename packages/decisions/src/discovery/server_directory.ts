/**
 * Tracks which backend servers may be sent requests, from their records in the
 * store and from what they state in their responses.
 *
 * Each record is bound to a lease and may expire during an outage of the store
 * although its server is alive. A record that disappears around an outage is
 * therefore retained until its server has had time to register again. A record
 * that disappears at any other time is removed at once, since its server has
 * stopped or is about to.
 *
 * A server that crashes may be back at its address under a new id before its
 * old record has expired. Only the server that started last at an address can
 * be running; it rejects requests meant for an earlier one.
 *
 * A server that leaves says so in its record and in its responses. The record
 * may be late or out of reach, so the first of the two counts.
 * @module
 */
import { LeavingServers } from "./leaving_servers.ts";
import { incarnationOf } from "./server_record.ts";
import type { ServerRecord } from "./server_record.ts";

/**
 * Milliseconds after an outage within which every live server has registered
 * again, as the platform guarantees.
 */
const REREGISTRATION_TIME = 2000;
/**
 * Milliseconds without a response of the store, with at least one failed call
 * among them, that count as an outage. Leases are renewed once a second.
 */
const OUTAGE_THRESHOLD = 1500;

/** Server records by id, including those retained after an outage. */
export class ServerDirectory {
  #records = new Map<string, ServerRecord>();
  readonly #leaving = new LeavingServers();
  /**
   * Ids that disappeared around an outage, with the time at which they are
   * removed.
   */
  readonly #retainedUntil = new Map<string, number>();
  #lastResponseAt: number | undefined;
  /** A call to the store has failed since its last response. */
  #callFailed = false;
  #outageEndedAt = -Infinity;
  #revision = 0;
  /**
   * The server that started last at each address; `undefined` after a change.
   */
  #newestByAddress: Map<string, ServerRecord> | undefined;

  /** Store revision of the newest change or complete read that was applied. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Records a response of the store and detects the end of an outage. A watch
   * that returned nothing for a long time is not an outage.
   */
  recordStoreResponse(now: number): void {
    const silence = now - (this.#lastResponseAt ?? now);
    if (this.#callFailed && silence > OUTAGE_THRESHOLD) {
      this.#outageEndedAt = now;
    }
    this.#lastResponseAt = now;
    this.#callFailed = false;
  }

  /** Records a failed call to the store. */
  recordStoreFailure(): void {
    this.#callFailed = true;
  }

  /** Replaces all records with the result of a complete read. */
  replace(
    records: readonly ServerRecord[],
    revision: number,
    now: number,
  ): void {
    const found = new Map(records.map((record) => [record.id, record]));
    for (const [id, record] of this.#records) {
      if (!found.has(id) && this.#retain(id, now)) found.set(id, record);
    }
    for (const record of records) this.#retainedUntil.delete(record.id);
    this.#records = found;
    this.#newestByAddress = undefined;
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Applies a written record; `undefined` for one that can't be decoded. */
  put(id: string, record: ServerRecord | undefined, now: number): void {
    this.#retainedUntil.delete(id);
    if (record === undefined) {
      this.remove(id, now);
      return;
    }
    this.#records.set(id, record);
    this.#newestByAddress = undefined;
  }

  /** Applies the removal of a record. */
  remove(id: string, now: number): void {
    if (!this.#records.has(id)) return;
    if (this.#retain(id, now)) return;
    this.#records.delete(id);
    this.#newestByAddress = undefined;
  }

  /** Records that all changes up to `revision` were applied. */
  advance(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /**
   * Records that a response of this start of a server said that the server
   * leaves. Returns false if that was known.
   */
  markLeaving(incarnation: string): boolean {
    return this.#leaving.add(incarnation);
  }

  /**
   * Incarnations of the registered servers that leave although their records
   * don't say so yet.
   */
  leavingUnrecorded(): string[] {
    return [...this.#records.values()]
      .filter(({ draining }) => !draining)
      .map(incarnationOf)
      .filter((incarnation) => this.#leaving.has(incarnation));
  }

  /** Returns all servers that may be sent requests now. */
  usable(now: number): ServerRecord[] {
    const usable: ServerRecord[] = [];
    for (const [id, record] of this.#records) {
      const removeAt = this.#retainedUntil.get(id);
      if (removeAt !== undefined && now >= removeAt) {
        this.#records.delete(id);
        this.#retainedUntil.delete(id);
        this.#newestByAddress = undefined;
        continue;
      }
      if (!this.#isLeaving(record) && !this.#isSuperseded(record)) {
        usable.push(record);
      }
    }
    return usable;
  }

  /** Returns the record with this id, also if its server is draining. */
  find(id: string): ServerRecord | undefined {
    return this.#records.get(id);
  }

  /** Returns all records, for a peer that can't reach the store. */
  all(): ServerRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Whether this start of the server is still registered, not leaving and the
   * last one at its address.
   */
  isUsable(record: ServerRecord): boolean {
    const current = this.#records.get(record.id);
    return current !== undefined && !this.#isLeaving(current) &&
      incarnationOf(current) === incarnationOf(record) &&
      !this.#isSuperseded(current);
  }

  #isLeaving(record: ServerRecord): boolean {
    return record.draining || this.#leaving.has(incarnationOf(record));
  }

  #isSuperseded(record: ServerRecord): boolean {
    this.#newestByAddress ??= newestByAddress(this.#records.values());
    const newest = this.#newestByAddress.get(addressOf(record));
    return newest !== undefined && newest.startedAt > record.startedAt;
  }

  #retain(id: string, now: number): boolean {
    const removeAt = this.#retainedUntil.get(id);
    if (removeAt !== undefined) return now < removeAt;
    const since = now - this.#outageEndedAt;
    if (since >= REREGISTRATION_TIME) return false;
    this.#retainedUntil.set(id, this.#outageEndedAt + REREGISTRATION_TIME);
    return true;
  }
}

function newestByAddress(
  records: Iterable<ServerRecord>,
): Map<string, ServerRecord> {
  const newest = new Map<string, ServerRecord>();
  for (const record of records) {
    const other = newest.get(addressOf(record));
    if (other === undefined || other.startedAt < record.startedAt) {
      newest.set(addressOf(record), record);
    }
  }
  return newest;
}

function addressOf(record: ServerRecord): string {
  return `${record.host}:${record.port}`;
}

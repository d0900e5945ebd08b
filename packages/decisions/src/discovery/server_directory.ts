/**
 * Which backend servers may be sent work, from the store's records of them.
 *
 * Records are bound to leases and may lapse while the store is away, although
 * their servers live on. So a record that vanishes around an outage is kept until
 * its server has had the time to register again; one that vanishes in quiet times
 * is dropped at once, since its server is gone or leaving.
 *
 * A server that crashes may be back at its address under another id before its
 * old record has lapsed. Whoever started last at an address is the only one there;
 * it would reject what is meant for the one before.
 * @module
 */
import { incarnationOf } from "./server_record.ts";
import type { ServerRecord } from "./server_record.ts";

/**
 * Milliseconds after the store's return within which a live server is back in
 * it, as the platform states.
 */
const REGISTER_AGAIN_WITHIN = 2000;
/**
 * Milliseconds without an answer of the store, with a failed call among them, that
 * count as an outage. Leases are renewed once a second.
 */
const OUTAGE_AFTER = 1500;

/** Records by id, with those that lapsed in an outage kept for a while. */
export class ServerDirectory {
  #records = new Map<string, ServerRecord>();
  /** Ids that vanished around an outage, with the time at which they are dropped. */
  readonly #lapsed = new Map<string, number>();
  #heardAt: number | undefined;
  /** A call to the store has failed since it answered last. */
  #failed = false;
  #outageEndedAt = -Infinity;
  #revision = 0;
  /** The last to start at each address; `undefined` after a change. */
  #newest: Map<string, ServerRecord> | undefined;

  /** Store revision of the newest change, or of a complete read, taken in. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * States that the store answered; notices the end of an outage. A watch that had
   * nothing to tell for long is none.
   */
  recordStoreResponse(now: number): void {
    const silence = now - (this.#heardAt ?? now);
    if (this.#failed && silence > OUTAGE_AFTER) this.#outageEndedAt = now;
    this.#heardAt = now;
    this.#failed = false;
  }

  /** States that a call to the store failed. */
  recordStoreFailure(): void {
    this.#failed = true;
  }

  /** Replaces all records by what a complete read found. */
  replace(
    records: readonly ServerRecord[],
    revision: number,
    now: number,
  ): void {
    const found = new Map(records.map((record) => [record.id, record]));
    for (const [id, record] of this.#records) {
      if (!found.has(id) && this.#keepLapsed(id, now)) found.set(id, record);
    }
    for (const record of records) this.#lapsed.delete(record.id);
    this.#records = found;
    this.#newest = undefined;
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Takes in one written record; `undefined` for one that can't be read. */
  put(id: string, record: ServerRecord | undefined, now: number): void {
    this.#lapsed.delete(id);
    if (record === undefined) {
      this.remove(id, now);
      return;
    }
    this.#records.set(id, record);
    this.#newest = undefined;
  }

  /** Takes in that a record is gone. */
  remove(id: string, now: number): void {
    if (!this.#records.has(id)) return;
    if (this.#keepLapsed(id, now)) return;
    this.#records.delete(id);
    this.#newest = undefined;
  }

  /** States that all changes up to `revision` were taken in. */
  advance(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Every server that may be sent work now. */
  usable(now: number): ServerRecord[] {
    const usable: ServerRecord[] = [];
    for (const [id, record] of this.#records) {
      const droppedAt = this.#lapsed.get(id);
      if (droppedAt !== undefined && now >= droppedAt) {
        this.#records.delete(id);
        this.#lapsed.delete(id);
        this.#newest = undefined;
        continue;
      }
      if (!record.draining && !this.#superseded(record)) usable.push(record);
    }
    return usable;
  }

  /** The record of an id, also of a server that is draining. */
  find(id: string): ServerRecord | undefined {
    return this.#records.get(id);
  }

  /** All records, for a peer that can't reach the store. */
  all(): ServerRecord[] {
    return [...this.#records.values()];
  }

  /** True while this very start of the server is registered and not leaving. */
  mayUse(record: ServerRecord): boolean {
    const current = this.#records.get(record.id);
    return current !== undefined && !current.draining &&
      incarnationOf(current) === incarnationOf(record) &&
      !this.#superseded(current);
  }

  #superseded(record: ServerRecord): boolean {
    this.#newest ??= newestByAddress(this.#records.values());
    const newest = this.#newest.get(addressOf(record));
    return newest !== undefined && newest.startedAt > record.startedAt;
  }

  #keepLapsed(id: string, now: number): boolean {
    const droppedAt = this.#lapsed.get(id);
    if (droppedAt !== undefined) return now < droppedAt;
    const since = now - this.#outageEndedAt;
    if (since >= REGISTER_AGAIN_WITHIN) return false;
    this.#lapsed.set(id, this.#outageEndedAt + REGISTER_AGAIN_WITHIN);
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

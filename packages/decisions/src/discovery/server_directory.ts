/**
 * Tracks which backend servers may be sent requests, from their records in the
 * store and from what they state in their responses.
 *
 * Changes arrive from the store and from peers, and an older one may arrive
 * after a newer one. Each record and each removal therefore has the store
 * revision at which it was written, and only a newer one replaces it. A server
 * that leaves never takes that back, whatever is written later.
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
import type {
  ServerChange,
  ServerRecord,
  ServerState,
} from "./server_record.ts";

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
/** Maximum number of removals that are remembered; the oldest is evicted. */
const MAXIMUM_REMOVALS = 4096;

/** A server with the time until which a removed record is retained. */
type KnownServer = { state: ServerState; retainedUntil?: number };

/** Servers by id, including those retained after an outage. */
export class ServerDirectory {
  readonly #servers = new Map<string, KnownServer>();
  /** Revisions of removals by id, oldest first. */
  readonly #removals = new Map<string, number>();
  readonly #leaving = new LeavingServers();
  #lastContactAt: number | undefined;
  /** A call to the store has failed since its last response. */
  #callFailed = false;
  #outageEndedAt = -Infinity;
  #revision = 0;
  /**
   * The server that started last at each address; `undefined` after a change.
   */
  #newestByAddress: Map<string, ServerRecord> | undefined;

  /** Store revision up to which all changes are known here. */
  get revision(): number {
    return this.#revision;
  }

  /** Records a response of the store to this entry. */
  recordStoreResponse(now: number): void {
    this.recordPeerContact(now);
    this.#callFailed = false;
  }

  /**
   * Records that the store responded to a peer at `at`, and detects the end of
   * an outage. A watch that returned nothing for a long time is not an outage,
   * and neither is a store that responds to others.
   */
  recordPeerContact(at: number): void {
    const last = this.#lastContactAt ?? at;
    if (at < last) return;
    if (this.#callFailed && at - last > OUTAGE_THRESHOLD) {
      this.#outageEndedAt = at;
    }
    this.#lastContactAt = at;
  }

  /** Records a failed call to the store. */
  recordStoreFailure(): void {
    this.#callFailed = true;
  }

  /**
   * Merges a complete read of the store as of `revision`. A record that it
   * holds corrects an earlier view of a peer that lacked it. Returns what has
   * changed.
   */
  mergeStoreRead(
    states: readonly ServerState[],
    revision: number,
    now: number,
  ): ServerChange[] {
    for (const { id, record } of states) {
      if (record === undefined || this.#servers.has(id)) continue;
      if (this.#knownRevision(id) <= revision) this.#recordRemoval(id, 0);
    }
    return this.merge(states, revision, now);
  }

  /**
   * Merges a complete view of all servers as of `revision`: a server that it
   * lacks was removed by then. Returns what has changed.
   */
  merge(
    states: readonly ServerState[],
    revision: number,
    now: number,
  ): ServerChange[] {
    const changes: ServerChange[] = [];
    const found = new Set<string>();
    for (const state of states) {
      found.add(state.id);
      changes.push(...this.apply(state, now));
    }
    for (const id of [...this.#servers.keys()]) {
      if (found.has(id)) continue;
      changes.push(...this.apply({ id, revision, record: undefined }, now));
    }
    this.advance(revision);
    return changes;
  }

  /**
   * Applies one written or removed record unless a newer one is known. Returns
   * what has changed.
   */
  apply(state: ServerState, now: number): ServerChange[] {
    const { id, revision, record } = state;
    if (record?.draining) this.#leaving.add(incarnationOf(record));
    if (revision <= this.#knownRevision(id)) return [];
    const before = this.#servers.get(id);
    this.#newestByAddress = undefined;
    if (record !== undefined) {
      this.#removals.delete(id);
      this.#servers.set(id, { state });
    } else if (before !== undefined) this.#remove(id, before, revision, now);
    else this.#recordRemoval(id, revision);
    return changesBetween(before, this.#servers.get(id), state);
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
    return this.#records()
      .filter(({ draining }) => !draining)
      .map(incarnationOf)
      .filter((incarnation) => this.#leaving.has(incarnation));
  }

  /** Returns all servers that may be sent requests now. */
  usable(now: number): ServerRecord[] {
    for (const [id, { state, retainedUntil }] of this.#servers) {
      if (retainedUntil === undefined || now < retainedUntil) continue;
      this.#servers.delete(id);
      this.#recordRemoval(id, state.revision);
      this.#newestByAddress = undefined;
    }
    return this.#records().filter((record) =>
      !this.#isLeaving(record) && !this.#isSuperseded(record)
    );
  }

  /** Returns the record with this id, also if its server is draining. */
  find(id: string): ServerRecord | undefined {
    return this.#servers.get(id)?.state.record;
  }

  /**
   * Returns all registered servers, for peers. Retained ones are left out: each
   * entry decides by what it knows of the outage.
   */
  registered(): ServerState[] {
    return [...this.#servers.values()]
      .filter(({ retainedUntil }) => retainedUntil === undefined)
      .map(({ state }) => state);
  }

  /**
   * Whether this start of the server is still registered, not leaving and the
   * last one at its address.
   */
  isUsable(record: ServerRecord): boolean {
    const current = this.find(record.id);
    return current !== undefined && !this.#isLeaving(current) &&
      incarnationOf(current) === incarnationOf(record) &&
      !this.#isSuperseded(current);
  }

  #records(): ServerRecord[] {
    return [...this.#servers.values()].map(({ state }) => state.record)
      .filter((record) => record !== undefined);
  }

  #isLeaving(record: ServerRecord): boolean {
    return record.draining || this.#leaving.has(incarnationOf(record));
  }

  #isSuperseded(record: ServerRecord): boolean {
    this.#newestByAddress ??= newestByAddress(this.#records());
    const newest = this.#newestByAddress.get(addressOf(record));
    return newest !== undefined && newest.startedAt > record.startedAt;
  }

  /**
   * Revision of the newest change of this id that is known. An id that is not
   * known has no record as of the revision of the directory.
   */
  #knownRevision(id: string): number {
    return this.#servers.get(id)?.state.revision ??
      this.#removals.get(id) ?? this.#revision;
  }

  #remove(
    id: string,
    { state, retainedUntil }: KnownServer,
    revision: number,
    now: number,
  ): void {
    const until = retainedUntil ?? this.#outageEndedAt + REREGISTRATION_TIME;
    if (now < until) {
      const retained = { ...state, revision };
      this.#servers.set(id, { state: retained, retainedUntil: until });
      return;
    }
    this.#servers.delete(id);
    this.#recordRemoval(id, revision);
  }

  #recordRemoval(id: string, revision: number): void {
    this.#removals.delete(id);
    this.#removals.set(id, revision);
    if (this.#removals.size <= MAXIMUM_REMOVALS) return;
    const [oldest] = this.#removals.keys();
    if (oldest !== undefined) this.#removals.delete(oldest);
  }
}

/** The change that a caller sees, if the server's availability has changed. */
function changesBetween(
  before: KnownServer | undefined,
  after: KnownServer | undefined,
  { id, revision }: ServerState,
): ServerChange[] {
  const availabilityBefore = availabilityOf(before);
  const availability = availabilityOf(after);
  if (availability === availabilityBefore) return [];
  return [{ server: id, change: availability, revision }];
}

function availabilityOf(
  server: KnownServer | undefined,
): ServerChange["change"] {
  if (server?.state.record === undefined) return "gone";
  if (server.retainedUntil !== undefined) return "retained";
  return server.state.record.draining ? "draining" : "ready";
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

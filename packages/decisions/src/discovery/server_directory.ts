/**
 * Tracks which backend servers may be sent requests, from their records in the
 * store and from what they state in their responses.
 *
 * Changes arrive from the store and from peers, and an older one may arrive
 * after a newer one. Each record and each removal therefore has the position in
 * the store's history at which it was written, and only a later one replaces
 * it. A server that leaves never takes that back, whatever is written later.
 *
 * When the store is restored from an older copy, a server that the copy lacks
 * is retained like one whose lease expired during an outage. A server that the
 * copy still holds although its removal, or a later start, is known stays
 * removed until it is written again.
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
 * Others may write records too. One of a service that the configuration doesn't
 * name takes no address that a server of a named one has, or had: the server
 * may still run requests after its record is gone. Such a service may also be
 * one of a configuration that this entry does not know yet, so its servers at
 * other addresses may be used.
 *
 * A server that leaves says so in its record and in its responses. The record
 * may be late or out of reach, so the first of the two counts.
 * @module
 */
import { LeavingServers } from "./leaving_servers.ts";
import { addressOf, incarnationOf, newestByAddress } from "./server_record.ts";
import type {
  ServerChange,
  ServerRecord,
  ServerState,
} from "./server_record.ts";
import { FIRST_POSITION, isLater, laterOf } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";

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
/** Maximum number of addresses whose service is remembered; likewise. */
const MAXIMUM_HOLDERS = 4096;

/** A server; a removed record is retained until a time. */
type KnownServer = {
  state: ServerState;
  retained?: { until: number; removedAt: StorePosition };
};

/** A removal; `last` is what had been written before, if that was known. */
type Removal = { position: StorePosition; last: ServerState | undefined };

/** Servers by id, including those retained after an outage. */
export class ServerDirectory {
  readonly #servers = new Map<string, KnownServer>();
  /** Removals by id, oldest first. */
  readonly #removals = new Map<string, Removal>();
  readonly #leaving = new LeavingServers();
  #lastContactAt: number | undefined;
  /** A call to the store has failed since its last response. */
  #callFailed = false;
  #outageEndedAt = -Infinity;
  #position = FIRST_POSITION;
  /** Services that the configuration names; `undefined` before it is known. */
  #services: ReadonlySet<string> | undefined;
  /** Service of the last named server at each address, oldest first. */
  readonly #holders = new Map<string, string>();
  /**
   * The server that may be running at each address; `undefined` after a change.
   */
  #newestByAddress: Map<string, ServerRecord> | undefined;

  /** Position up to which all changes of the store are known here. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Replaces the services that the configuration names. */
  setServices(services: ReadonlySet<string>): void {
    this.#services = services;
    this.#newestByAddress = undefined;
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

  /**
   * Records that the store has been restored from an older copy. Servers that
   * the copy lacks register again as after an outage.
   */
  recordRestore(now: number): void {
    this.#outageEndedAt = now;
  }

  /** Records a failed call to the store. */
  recordStoreFailure(): void {
    this.#callFailed = true;
  }

  /**
   * Merges a complete read of the store as of `position`. A record that it
   * holds corrects an earlier view of a peer that lacked it. Returns what has
   * changed.
   */
  mergeStoreRead(
    states: readonly ServerState[],
    position: StorePosition,
    now: number,
  ): ServerChange[] {
    for (const state of states) {
      const { id, record } = state;
      if (record === undefined || this.#servers.has(id)) continue;
      if (isLater(this.#knownPosition(id), position)) continue;
      if (!this.#isOutlived(state)) this.#recordRemoval(id, FIRST_POSITION);
    }
    this.#confirmRemovals(states, position);
    return this.merge(states, position, now);
  }

  /** A removed server that the store lacks can only be written anew. */
  #confirmRemovals(
    states: readonly ServerState[],
    position: StorePosition,
  ): void {
    const stored = new Set(states.map(({ id }) => id));
    for (const [id, removal] of this.#removals) {
      if (stored.has(id) || removal.position.era >= position.era) continue;
      this.#removals.set(id, { ...removal, position });
    }
  }

  /**
   * Merges a complete view of all servers as of `position`: a server that it
   * lacks was removed by then. Returns what has changed.
   */
  merge(
    states: readonly ServerState[],
    position: StorePosition,
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
      changes.push(...this.apply({ id, position, record: undefined }, now));
    }
    this.advance(position);
    return changes;
  }

  /**
   * Applies one written or removed record unless a newer one is known. Returns
   * what has changed.
   */
  apply(state: ServerState, now: number): ServerChange[] {
    const { id, position, record } = state;
    if (record?.draining) this.#leaving.add(incarnationOf(record));
    if (!isLater(position, this.#knownPosition(id))) return [];
    const before = this.#servers.get(id);
    this.#newestByAddress = undefined;
    if (record !== undefined && !this.#isOutlived(state)) {
      this.#removals.delete(id);
      this.#servers.set(id, { state });
    } else if (before !== undefined) this.#remove(id, before, position, now);
    else if (record === undefined) this.#recordRemoval(id, position);
    return changesBetween(before, this.#servers.get(id), state);
  }

  /** Records that all changes up to `position` were applied. */
  advance(position: StorePosition): void {
    this.#position = laterOf(this.#position, position);
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
    for (const [id, { state, retained }] of this.#servers) {
      if (retained === undefined || now < retained.until) continue;
      this.#servers.delete(id);
      this.#recordRemoval(id, retained.removedAt, state);
      this.#newestByAddress = undefined;
    }
    return this.#records().filter((record) =>
      !this.#isLeaving(record) && !this.#isSuperseded(record)
    );
  }

  /** Servers that are cold at `now`, and for how many more milliseconds. */
  coldServers(now: number): { server: string; remaining: number }[] {
    return this.#records().flatMap((record) => {
      const remaining = (record.coldUntil ?? now) - now;
      const server = incarnationOf(record);
      return remaining > 0 ? [{ server, remaining }] : [];
    });
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
      .filter(({ retained }) => retained === undefined)
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
    this.#newestByAddress ??= this.#findNewestByAddress();
    const newest = this.#newestByAddress.get(addressOf(record));
    return this.#isForeign(record) ||
      newest !== undefined && newest.startedAt > record.startedAt;
  }

  #findNewestByAddress(): Map<string, ServerRecord> {
    const records = this.#records();
    for (const record of records) {
      if (this.#isNamed(record)) this.#recordHolder(record);
    }
    return newestByAddress(
      records.filter((record) => !this.#isForeign(record)),
    );
  }

  /** Whether the configuration names the server's service. */
  #isNamed({ service }: ServerRecord): boolean {
    return this.#services?.has(service) ?? false;
  }

  /** Whether its service isn't named, and its address is held by another. */
  #isForeign(record: ServerRecord): boolean {
    if (this.#isNamed(record)) return false;
    const holder = this.#holders.get(addressOf(record));
    return holder !== undefined && holder !== record.service;
  }

  #recordHolder(record: ServerRecord): void {
    const address = addressOf(record);
    this.#holders.delete(address);
    this.#holders.set(address, record.service);
    if (this.#holders.size <= MAXIMUM_HOLDERS) return;
    const [oldest] = this.#holders.keys();
    if (oldest !== undefined) this.#holders.delete(oldest);
  }

  /**
   * Position of the newest change of this id that is known. An id that is not
   * known has no record as of the position of the directory.
   */
  #knownPosition(id: string): StorePosition {
    const known = this.#servers.get(id);
    return known?.retained?.removedAt ?? known?.state.position ??
      this.#removals.get(id)?.position ?? this.#position;
  }

  /**
   * Whether the record is one that a restored copy of the store still holds: a
   * later start of the server is known, or the removal of the same write.
   */
  #isOutlived({ id, position, record }: ServerState): boolean {
    const known = this.#servers.get(id)?.state;
    const removal = this.#removals.get(id);
    const last = known ?? removal?.last;
    if (record === undefined || last?.record === undefined) return false;
    if (position.era <= last.position.era) return false;
    if (record.startedAt !== last.record.startedAt) {
      return record.startedAt < last.record.startedAt;
    }
    const isRemovedBefore = known === undefined && removal !== undefined &&
      removal.position.era < position.era;
    return isRemovedBefore && position.revision <= last.position.revision;
  }

  #remove(
    id: string,
    { state, retained }: KnownServer,
    position: StorePosition,
    now: number,
  ): void {
    const until = retained?.until ?? this.#outageEndedAt + REREGISTRATION_TIME;
    if (now < until) {
      const removedAt = position;
      this.#servers.set(id, { state, retained: { until, removedAt } });
      return;
    }
    this.#servers.delete(id);
    this.#recordRemoval(id, position, state);
  }

  /** `last`: what had been written; by default what is known of it. */
  #recordRemoval(
    id: string,
    position: StorePosition,
    last = this.#removals.get(id)?.last,
  ): void {
    this.#removals.delete(id);
    this.#removals.set(id, { position, last });
    if (this.#removals.size <= MAXIMUM_REMOVALS) return;
    const [oldest] = this.#removals.keys();
    if (oldest !== undefined) this.#removals.delete(oldest);
  }
}

/** The change that a caller sees, if the server's availability has changed. */
function changesBetween(
  before: KnownServer | undefined,
  after: KnownServer | undefined,
  { id, position }: ServerState,
): ServerChange[] {
  const availabilityBefore = availabilityOf(before);
  const availability = availabilityOf(after);
  if (availability === availabilityBefore) return [];
  return [{ server: id, change: availability, ...position }];
}

function availabilityOf(
  server: KnownServer | undefined,
): ServerChange["change"] {
  if (server?.state.record === undefined) return "gone";
  if (server.retained !== undefined) return "retained";
  return server.state.record.draining ? "draining" : "ready";
}

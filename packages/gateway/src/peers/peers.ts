/**
 * Links to all other entries: their opening, identification and loss.
 * @module
 */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { SILENT_AFTER } from "@sycamorepulley/decisions";
import type { GrantCandidate, WatchGroup } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import { listen } from "../listen.ts";
import type { Address } from "../settings.ts";
import type { Member } from "../state/fleet_state.ts";
import type { PeerMessage } from "./messages.ts";
import { Heartbeats } from "./heartbeats.ts";
import { PeerLink } from "./peer_link.ts";
import type { PeerStatus } from "./peer_link.ts";

/** Minimum milliseconds between two dials of the same address. */
const REDIAL_DELAY = 500;
/**
 * Milliseconds for which an entry leaves it to the first by name to dial. The
 * other one may not find it in the member list.
 */
const OTHER_SIDE_DELAY = 1000;
/**
 * Milliseconds until an entry of a group dials a seed that has no link, and
 * between two such dials.
 */
const SEED_DIAL_DELAY = 2000;
/** Number of peers that an entry dials as soon as it knows any. */
const INITIAL_DIALS = 3;
/** Milliseconds until an attempt to connect is given up. */
const DIAL_TIMEOUT = 500;

/** Another entry as a member of the group. */
export type PeerEntry = GrantCandidate & {
  /** It is draining. */
  leaving: boolean;
  /** The other entries certainly count it with its full share. */
  listed: boolean;
  /** Its granting entry; undefined before its first heartbeat. */
  asks: string | undefined;
  /** It has not yet responded to a probe. */
  probePending: boolean;
};

/** What {@link Peers} calls of its owner: event handlers and queries. */
export abstract class PeerEvents {
  abstract onMessage(peer: string, message: PeerMessage): void;
  /** A peer has connected, for the first time or again. */
  abstract onPeerConnected(peer: string): void;
  /** A peer has changed its granting entry. */
  abstract onGroupChanged(): void;
  abstract onPeerLost(peer: string): void;
  abstract ownStatus(): PeerStatus;
  /** True once the member list has been read from the store. */
  abstract knowsMembers(): boolean;
  /** True until a peer has sent its state to this entry. */
  abstract hasJustStarted(): boolean;
}

/** Links to the other entries, by the peer's instance name. */
export class Peers {
  readonly #instance: string;
  readonly #incarnation: string;
  readonly #events: PeerEvents;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #links = new Map<string, PeerLink>();
  readonly #unidentified = new Set<PeerLink>();
  readonly #dialledAt = new Map<string, number>();
  /** Entry that responded at an address when it was last dialled. */
  readonly #entryAt = new Map<string, string>();
  /** Since when entries of the member list, by name, have had no link. */
  readonly #unlinkedSince = new Map<string, number>();
  /** The same for seeds, by address. */
  readonly #seedUnlinkedSince = new Map<string, number>();
  readonly #heartbeats: Heartbeats;
  readonly #seeds: readonly Address[];
  readonly #ownAddress: Address;
  #server: Server | undefined;

  constructor(
    options: {
      instance: string;
      incarnation: string;
      ownAddress: Address;
      seeds: readonly Address[];
      events: PeerEvents;
      log: EventLog;
      clock: () => number;
    },
  ) {
    this.#instance = options.instance;
    this.#incarnation = options.incarnation;
    this.#ownAddress = options.ownAddress;
    this.#seeds = options.seeds;
    this.#events = options.events;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#heartbeats = new Heartbeats({
      instance: options.instance,
      links: this.#links,
      ownStatus: () => options.events.ownStatus(),
    });
  }

  /** Connected peers, also draining ones, as they still request grants. */
  connectedPeers(): string[] {
    return [...this.#links.keys()];
  }

  /** Connected peers with the status that each announced last. */
  entries(): PeerEntry[] {
    return [...this.#links].map(([name, link]) => {
      const { status } = link;
      return {
        name,
        processors: status?.processors ?? 0,
        leaving: status?.leaving ?? false,
        listed: status?.listed ?? false,
        asks: status?.asks,
        probePending: this.#heartbeats.isProbePending(link),
      };
    });
  }

  /** Last announced status of each connected peer. */
  statuses(): PeerStatus[] {
    return [...this.#links.values()].map(({ status }) => status)
      .filter((status) => status !== undefined);
  }

  /** See {@link Heartbeats.currentStatuses}. */
  currentStatuses(): PeerStatus[] {
    return this.#heartbeats.currentStatuses(this.#clock());
  }

  /** True for a peer that has read the member list from the store. */
  knowsMembers(peer: string): boolean {
    return this.#links.get(peer)?.knowsMembers ?? false;
  }

  /** True for a peer that no other entry had sent its state before. */
  hasJustStarted(peer: string): boolean {
    return this.#links.get(peer)?.hasJustStarted ?? false;
  }

  /** True for a peer that accepts messages about suspects. */
  acceptsSuspects(peer: string): boolean {
    return this.#links.get(peer)?.acceptsSuspects ?? false;
  }

  /** True for a peer that accepts messages about appointments. */
  acceptsAppointments(peer: string): boolean {
    return this.#links.get(peer)?.acceptsAppointments ?? false;
  }

  /** True for a peer that accepts messages about what is known of roll-outs. */
  acceptsRolloutHandovers(peer: string): boolean {
    return this.#links.get(peer)?.acceptsRolloutHandovers ?? false;
  }

  /** Rank of this entry by name among the connected ones, and their number. */
  watchGroup(): WatchGroup {
    const names = this.connectedPeers();
    const rank = names.filter((name) => name < this.#instance).length;
    return { rank, size: names.length + 1 };
  }

  /** True if some connected peer is not draining. */
  hasActivePeer(): boolean {
    return this.entries().some(({ leaving }) => !leaving);
  }

  listen(): Promise<number> {
    this.#server = createServer((socket) => this.#addLink(socket));
    return listen(this.#server, this.#ownAddress, {
      onInUse: ({ host, port }) =>
        this.#log.write({
          event: "address_in_use",
          address: `${host}:${port}`,
        }),
    });
  }

  send(peer: string, message: PeerMessage): boolean {
    const link = this.#links.get(peer);
    link?.send(message, this.#clock());
    return link !== undefined;
  }

  /** Sends a heartbeat immediately, to all peers or to the grant peers only. */
  announce(to: "all" | "grantPeers" = "all"): void {
    const now = this.#clock();
    if (to === "all") this.#heartbeats.announceToAll(now);
    else this.#heartbeats.announceToGrantPeers(now);
  }

  /** Sends a heartbeat to the named peers immediately. */
  announceTo(names: Iterable<string>): void {
    this.#heartbeats.announceTo(names, this.#clock());
  }

  /**
   * Closes silent links, sends heartbeats and dials entries without a link.
   * `unregistered` entries may not know this one, so they are always dialled.
   */
  tick(
    members: ReadonlyMap<string, Member>,
    unregistered: ReadonlyMap<string, Member>,
  ): void {
    const now = this.#clock();
    this.#closeSilent(now);
    this.#heartbeats.round(now);
    this.#dialMembers(members, now);
    for (const [name, member] of unregistered) {
      if (name === this.#instance || this.#links.has(name)) continue;
      this.#dial(member, now);
    }
    this.#dialSeeds(members, now);
  }

  /**
   * Dials the members without a link. Usually only the first by name dials, or
   * each pair of entries would open two links.
   */
  #dialMembers(members: ReadonlyMap<string, Member>, now: number): void {
    for (const name of this.#unlinkedSince.keys()) {
      if (!members.has(name)) this.#unlinkedSince.delete(name);
    }
    for (const [name, member] of members) {
      if (name === this.#instance) continue;
      if (this.#links.has(name)) {
        this.#unlinkedSince.delete(name);
        continue;
      }
      const since = this.#unlinkedSince.get(name) ?? now;
      this.#unlinkedSince.set(name, since);
      const isFirst = this.#instance < name;
      if (isFirst || now - since >= OTHER_SIDE_DELAY) this.#dial(member, now);
    }
  }

  /**
   * Dials the seeds without a link: often if this entry knows no other one,
   * else rarely, as entries that don't find each other in the member list may
   * form several groups.
   */
  #dialSeeds(members: ReadonlyMap<string, Member>, now: number): void {
    const isAlone = members.size <= 1 && this.#links.size === 0;
    const linked = new Set<string>();
    for (const [name, member] of members) {
      if (this.#links.has(name)) linked.add(addressKey(member));
    }
    for (const seed of this.#seeds) {
      const key = addressKey(seed);
      const entry = this.#entryAt.get(key);
      const isOwn = key === addressKey(this.#ownAddress) ||
        entry === this.#instance;
      const isLinked = linked.has(key) ||
        (entry !== undefined && this.#links.has(entry));
      if (isOwn || isLinked) {
        this.#seedUnlinkedSince.delete(key);
        continue;
      }
      const since = this.#seedUnlinkedSince.get(key) ?? now;
      this.#seedUnlinkedSince.set(key, since);
      if (isAlone) this.#dial(seed, now);
      else if (now - since >= SEED_DIAL_DELAY) {
        this.#dial(seed, now, SEED_DIAL_DELAY);
      }
    }
  }

  /**
   * Dials some peers without waiting for the next round, to receive their state
   * early. A peer may dial this entry as well; one of the two links is closed.
   */
  dialEarly(members: readonly Member[]): void {
    const now = this.#clock();
    for (const member of members.slice(0, INITIAL_DIALS)) {
      if (!this.#links.has(member.instance)) this.#dial(member, now);
    }
  }

  #closeSilent(now: number): void {
    for (const link of this.#unidentified) {
      if (now - link.lastReceivedAt > SILENT_AFTER) link.close("silent");
    }
    for (const [name, link] of this.#links) {
      if (this.#heartbeats.isSilent(name, link, now)) link.close("silent");
    }
  }

  close(): void {
    this.#server?.close();
    for (const link of this.#links.values()) link.close("stopped");
    for (const link of this.#unidentified) link.close("stopped");
  }

  #dial(address: Address, now: number, delay = REDIAL_DELAY): void {
    const { host, port } = address;
    const key = addressKey(address);
    if (now - (this.#dialledAt.get(key) ?? -Infinity) < delay) return;
    this.#dialledAt.set(key, now);
    const socket = connect({ host, port });
    const giveUp = () => socket.destroy();
    socket.setTimeout(DIAL_TIMEOUT, giveUp);
    // An unreachable peer is dialled again later, and counts as absent.
    socket.once("error", giveUp);
    socket.once("connect", () => {
      socket.setTimeout(0);
      socket.off("error", giveUp);
      this.#addLink(socket, key);
    });
  }

  /** `address`: where this side opened the connection to. */
  #addLink(socket: Socket, address?: string): void {
    const now = this.#clock();
    const link = new PeerLink(socket, address, now);
    this.#unidentified.add(link);
    const knowsMembers = this.#events.knowsMembers();
    const hasJustStarted = this.#events.hasJustStarted();
    link.send({
      type: "hello",
      instance: this.#instance,
      incarnation: this.#incarnation,
      knowsMembers,
      hasJustStarted,
      acceptsSuspects: true,
      acceptsAppointments: true,
      acceptsRolloutHandovers: true,
    }, now);
    this.#heartbeats.sendFirst(link, now);
    void this.#receiveMessages(link);
  }

  async #receiveMessages(link: PeerLink): Promise<void> {
    let reason = "closed by the peer";
    try {
      for await (const message of link.messages()) {
        link.recordReceipt(this.#clock());
        this.#handleMessage(link, message);
      }
    } catch (error) {
      reason = String(error);
    }
    this.#unidentified.delete(link);
    const name = link.instance;
    if (name === undefined || this.#links.get(name) !== link) return;
    this.#links.delete(name);
    this.#log.write({
      event: "dependency_lost",
      dependency: `entry ${name}`,
      detail: link.closeReason || reason,
      silence: Math.round(this.#clock() - link.lastReceivedAt),
    });
    this.#events.onPeerLost(name);
  }

  #handleMessage(link: PeerLink, message: PeerMessage): void {
    if (message.type === "hello") {
      link.knowsMembers = message.knowsMembers;
      link.hasJustStarted = message.hasJustStarted;
      link.acceptsSuspects = message.acceptsSuspects;
      link.acceptsAppointments = message.acceptsAppointments;
      link.acceptsRolloutHandovers = message.acceptsRolloutHandovers;
      this.#identify(link, message.instance, message.incarnation);
      return;
    }
    const name = link.instance;
    if (name === undefined) return;
    if (message.type === "heartbeat") {
      const { type: _type, interval, reply, ...status } = message;
      const before = link.status;
      link.status = status;
      link.statusReceivedAt = this.#clock();
      link.interval = interval;
      if (reply) this.announceTo([name]);
      if (before?.asks !== status.asks) this.#events.onGroupChanged();
    }
    this.#events.onMessage(name, message);
  }

  #identify(link: PeerLink, instance: string, incarnation: string): void {
    link.instance = instance;
    link.incarnation = incarnation;
    if (link.address !== undefined) this.#entryAt.set(link.address, instance);
    this.#unidentified.delete(link);
    if (instance === this.#instance) {
      link.instance = undefined;
      link.close("this entry itself, or another one of its name");
      return;
    }
    const before = this.#links.get(instance);
    if (before?.incarnation === incarnation) {
      this.#resolveDuplicate(instance, before, link);
      return;
    }
    this.#links.set(instance, link);
    if (before !== undefined) {
      // A restarted peer may connect before its old link is found dead.
      before.close("replaced");
      this.#events.onPeerLost(instance);
    }
    this.#log.write({
      event: "dependency_regained",
      dependency: `entry ${instance}`,
    });
    this.#events.onPeerConnected(instance);
  }

  /** Both sides dialled: both keep the link that the first by name opened. */
  #resolveDuplicate(
    instance: string,
    existing: PeerLink,
    link: PeerLink,
  ): void {
    const ownNameFirst = this.#instance < instance;
    const kept = link.dialled === ownNameFirst ? link : existing;
    const closed = kept === link ? existing : link;
    this.#links.set(instance, kept);
    kept.status ??= closed.status;
    closed.instance = undefined;
    closed.close("second link");
    if (kept === existing) return;
    // Messages in transit over the closed link are lost with it.
    this.#events.onPeerLost(instance);
    this.#events.onPeerConnected(instance);
  }
}

function addressKey({ host, port }: Address): string {
  return `${host}:${port}`;
}

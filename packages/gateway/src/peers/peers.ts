/**
 * Links to all other entries, and which of them are heard.
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
import type { PeerStanding } from "./peer_link.ts";

/** Milliseconds until a failed dial is tried again. */
const DIAL_AGAIN_AFTER = 500;
const DIAL_TIMEOUT = 500;

/** Another entry, as a group counts it. */
export type PeerEntry = GrantCandidate & {
  leaving: boolean;
  listed: boolean;
  /** The entry that it asks for servers; none before it has said so. */
  asks: string | undefined;
  /** It has not yet answered a probe. */
  probePending: boolean;
};

/** What the owner of the links does with them. */
export abstract class PeerEvents {
  abstract received(peer: string, message: PeerMessage): void;
  /** A peer is heard for the first time, or again. */
  abstract joined(peer: string): void;
  /** A peer asks another entry than before. */
  abstract regrouped(): void;
  abstract lost(peer: string): void;
  abstract standing(): PeerStanding;
  /** True once the member list has been read from the store. */
  abstract knowsMembers(): boolean;
}

/** Links by the peer's instance name. */
export class Peers {
  readonly #instance: string;
  readonly #incarnation: string;
  readonly #events: PeerEvents;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #links = new Map<string, PeerLink>();
  readonly #unnamed = new Set<PeerLink>();
  readonly #dialledAt = new Map<string, number>();
  readonly #heartbeats: Heartbeats;
  readonly #seeds: readonly Address[];
  readonly #own: Address;
  #server: Server | undefined;

  constructor(
    options: {
      instance: string;
      incarnation: string;
      own: Address;
      seeds: readonly Address[];
      events: PeerEvents;
      log: EventLog;
      clock: () => number;
    },
  ) {
    this.#instance = options.instance;
    this.#incarnation = options.incarnation;
    this.#own = options.own;
    this.#seeds = options.seeds;
    this.#events = options.events;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#heartbeats = new Heartbeats({
      instance: options.instance,
      links: this.#links,
      standing: () => options.events.standing(),
    });
  }

  /** Peers that are heard, those that are leaving included: they still ask. */
  heard(): string[] {
    return [...this.#links.keys()];
  }

  /** The same with what each said of itself last. */
  entries(): PeerEntry[] {
    return [...this.#links].map(([name, link]) => {
      const { standing } = link;
      return {
        name,
        processors: standing?.processors ?? 0,
        leaving: standing?.leaving ?? false,
        listed: standing?.listed ?? false,
        asks: standing?.asks,
        probePending: this.#heartbeats.isProbePending(link),
      };
    });
  }

  /** What the peers that are heard said of themselves last. */
  standings(): PeerStanding[] {
    return [...this.#links.values()].map(({ standing }) => standing)
      .filter((standing) => standing !== undefined);
  }

  /** See {@link Heartbeats.currentStandings}. */
  currentStandings(): PeerStanding[] {
    return this.#heartbeats.currentStandings(this.#clock());
  }

  /** True for a peer that has read the member list from the store. */
  knowsMembers(peer: string): boolean {
    return this.#links.get(peer)?.knowsMembers ?? false;
  }

  /** This entry's place by name among those that hear each other. */
  watchGroup(): WatchGroup {
    const names = this.heard();
    const rank = names.filter((name) => name < this.#instance).length;
    return { rank, size: names.length + 1 };
  }

  /** True when a peer is heard that isn't leaving. */
  anyStaying(): boolean {
    return this.entries().some(({ leaving }) => !leaving);
  }

  listen(): Promise<number> {
    this.#server = createServer((socket) => this.#adopt(socket, false));
    return listen(this.#server, this.#own);
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
   * Heartbeats, closing of silent links, dialling of missing ones. `unregistered`
   * entries may not know of this one.
   */
  tick(
    members: ReadonlyMap<string, Member>,
    unregistered: ReadonlyMap<string, Member>,
  ): void {
    const now = this.#clock();
    this.#closeSilent(now);
    this.#heartbeats.round(now);
    for (const [name, member] of members) {
      // One of the two dials, or each pair would hold two links.
      if (name <= this.#instance || this.#links.has(name)) continue;
      this.#dial(member, now);
    }
    for (const [name, member] of unregistered) {
      if (name === this.#instance || this.#links.has(name)) continue;
      this.#dial(member, now);
    }
    if (members.size > 1) return;
    for (const seed of this.#seeds) {
      const known = [...members.values()].some((member) =>
        member.host === seed.host && member.port === seed.port &&
        this.#links.has(member.instance)
      );
      const self = seed.host === this.#own.host && seed.port === this.#own.port;
      if (!known && !self && this.#links.size === 0) this.#dial(seed, now);
    }
  }

  #closeSilent(now: number): void {
    for (const link of this.#unnamed) {
      if (now - link.heardAt > SILENT_AFTER) link.close("silent");
    }
    for (const [name, link] of this.#links) {
      if (this.#heartbeats.isSilent(name, link, now)) link.close("silent");
    }
  }

  close(): void {
    this.#server?.close();
    for (const link of this.#links.values()) link.close("stopped");
    for (const link of this.#unnamed) link.close("stopped");
  }

  #dial(address: Address, now: number): void {
    const { host, port } = address;
    const key = `${host}:${port}`;
    if (now - (this.#dialledAt.get(key) ?? -Infinity) < DIAL_AGAIN_AFTER) {
      return;
    }
    this.#dialledAt.set(key, now);
    const socket = connect({ host, port });
    const giveUp = () => socket.destroy();
    socket.setTimeout(DIAL_TIMEOUT, giveUp);
    // A peer that can't be reached is dialled again; its absence is what counts.
    socket.once("error", giveUp);
    socket.once("connect", () => {
      socket.setTimeout(0);
      socket.off("error", giveUp);
      this.#adopt(socket, true);
    });
  }

  #adopt(socket: Socket, dialled: boolean): void {
    const now = this.#clock();
    const link = new PeerLink(socket, dialled, now);
    this.#unnamed.add(link);
    const knowsMembers = this.#events.knowsMembers();
    link.send({
      type: "hello",
      instance: this.#instance,
      incarnation: this.#incarnation,
      knowsMembers,
    }, now);
    this.#heartbeats.sendFirst(link, now);
    void this.#serve(link);
  }

  async #serve(link: PeerLink): Promise<void> {
    let reason = "closed by the peer";
    try {
      for await (const message of link.messages()) {
        link.heard(this.#clock());
        this.#take(link, message);
      }
    } catch (error) {
      reason = String(error);
    }
    this.#unnamed.delete(link);
    const name = link.instance;
    if (name === undefined || this.#links.get(name) !== link) return;
    this.#links.delete(name);
    this.#log.write({
      event: "dependency_lost",
      dependency: `entry ${name}`,
      detail: link.closedFor || reason,
      silence: Math.round(this.#clock() - link.heardAt),
    });
    this.#events.lost(name);
  }

  #take(link: PeerLink, message: PeerMessage): void {
    if (message.type === "hello") {
      link.knowsMembers = message.knowsMembers;
      this.#named(link, message.instance, message.incarnation);
      return;
    }
    const name = link.instance;
    if (name === undefined) return;
    if (message.type === "heartbeat") {
      const { type: _type, interval, reply, ...standing } = message;
      const before = link.standing;
      link.standing = standing;
      link.standingReceivedAt = this.#clock();
      link.interval = interval;
      if (reply) this.announceTo([name]);
      if (before?.asks !== standing.asks) this.#events.regrouped();
    }
    this.#events.received(name, message);
  }

  #named(link: PeerLink, instance: string, incarnation: string): void {
    link.instance = instance;
    link.incarnation = incarnation;
    this.#unnamed.delete(link);
    const before = this.#links.get(instance);
    if (before?.incarnation === incarnation) {
      this.#keepOne(instance, before, link);
      return;
    }
    this.#links.set(instance, link);
    if (before !== undefined) {
      // A restarted peer connects before its old link is found dead.
      before.close("replaced");
      this.#events.lost(instance);
    }
    this.#log.write({
      event: "dependency_regained",
      dependency: `entry ${instance}`,
    });
    this.#events.joined(instance);
  }

  /** Both sides dialled: both keep the link that the first by name opened. */
  #keepOne(instance: string, before: PeerLink, link: PeerLink): void {
    const first = this.#instance < instance;
    const kept = link.dialled === first ? link : before;
    const other = kept === link ? before : link;
    this.#links.set(instance, kept);
    kept.standing ??= other.standing;
    other.instance = undefined;
    other.close("second link");
    if (kept === before) return;
    // What was on its way over the first one is gone with it.
    this.#events.lost(instance);
    this.#events.joined(instance);
  }
}

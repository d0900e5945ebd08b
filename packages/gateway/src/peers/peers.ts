/**
 * Links to all other entries, and which of them are heard.
 *
 * A link that is silent for a few heartbeats is closed: connections may go
 * silent for good without being reset, and a frozen or unreachable peer must not
 * hold up the requests that wait for its grants.
 * @module
 */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { AbleEntry, WatchGroup } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import { listen } from "../listen.ts";
import type { Address } from "../settings.ts";
import type { Member } from "../state/fleet_state.ts";
import type { PeerMessage } from "./messages.ts";
import { PeerLink } from "./peer_link.ts";
import type { PeerStanding } from "./peer_link.ts";

/** Milliseconds between heartbeats: three may be lost before a link is closed. */
export const HEARTBEAT_EVERY = 200;
const SILENT_AFTER = 700;
/** Milliseconds until a failed dial is tried again. */
const DIAL_AGAIN_AFTER = 500;
const DIAL_TIMEOUT = 500;

/** Another entry, as a group counts it. */
export type PeerEntry = AbleEntry & {
  leaving: boolean;
  listed: boolean;
  /** The entry that it asks for servers; none before it has said so. */
  asks: string | undefined;
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
  }

  /** Peers that are heard, those that are leaving included: they still ask. */
  heard(): string[] {
    return [...this.#links.keys()];
  }

  /** The same with what each said of itself last. */
  entries(): PeerEntry[] {
    return [...this.#links].map(([name, { standing }]) => ({
      name,
      processors: standing?.processors ?? 0,
      leaving: standing?.leaving ?? false,
      listed: standing?.listed ?? false,
      asks: standing?.asks,
    }));
  }

  /** What the peers that are heard said of themselves last. */
  standings(): PeerStanding[] {
    return [...this.#links.values()].map(({ standing }) => standing)
      .filter((standing) => standing !== undefined);
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
    link?.send(message);
    return link !== undefined;
  }

  /** Says at once how this entry stands. */
  announce(): void {
    const standing = this.#events.standing();
    for (const link of this.#links.values()) {
      link.send({ type: "heartbeat", ...standing });
    }
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
    for (const link of [...this.#links.values(), ...this.#unnamed]) {
      if (now - link.heardAt > SILENT_AFTER) link.close("silent");
    }
    this.announce();
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
    const link = new PeerLink(socket, dialled, this.#clock());
    this.#unnamed.add(link);
    link.send({
      type: "hello",
      instance: this.#instance,
      incarnation: this.#incarnation,
    });
    link.send({ type: "heartbeat", ...this.#events.standing() });
    void this.#serve(link);
  }

  async #serve(link: PeerLink): Promise<void> {
    let reason = "closed by the peer";
    try {
      for await (const message of link.messages()) {
        link.heardAt = this.#clock();
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
      this.#named(link, message.instance, message.incarnation);
      return;
    }
    const name = link.instance;
    if (name === undefined) return;
    if (message.type === "heartbeat") {
      const { type: _type, ...standing } = message;
      const before = link.standing;
      link.standing = standing;
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

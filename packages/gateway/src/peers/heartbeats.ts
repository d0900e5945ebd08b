/**
 * Sends heartbeats to peers and detects peers that have gone silent.
 *
 * A connection may go silent without being reset, and a frozen or unreachable
 * peer must not block the requests that wait for its grants. When the granting
 * entry is silent, the peers without a recent message are probed, because its
 * successor may have failed at the same time.
 * @module
 */
import {
  HEARTBEAT_EVERY,
  heartbeatRecipients,
  roundRobinInterval,
  silenceLimit,
  SILENT_AFTER,
  SUSPECTED_AFTER,
} from "@sycamorepulley/decisions";
import type { PeerLink, PeerStanding } from "./peer_link.ts";
import { heartbeatKey } from "./peer_link.ts";

/** Minimum milliseconds between probes of the peers. */
const PROBE_AGAIN_AFTER = 1000;

/** Heartbeats over the links of one entry, keyed by the peer's instance name. */
export class Heartbeats {
  readonly #instance: string;
  readonly #links: ReadonlyMap<string, PeerLink>;
  readonly #standing: () => PeerStanding;
  /** The entry that this one asks for servers, and since when. */
  #granting = "";
  #grantingSince = -Infinity;
  #probedAt = -Infinity;

  constructor(options: {
    instance: string;
    links: ReadonlyMap<string, PeerLink>;
    standing: () => PeerStanding;
  }) {
    this.#instance = options.instance;
    this.#links = options.links;
    this.#standing = options.standing;
  }

  /** Sends the heartbeats that are due in this round. */
  round(now: number): void {
    const standing = this.#refreshStanding(now);
    const key = heartbeatKey(standing, HEARTBEAT_EVERY);
    const peers = [...this.#links].map(([name, link]) => ({
      name,
      grantPeer: this.#isGrantPeer(name, link),
      sentAt: link.sentAt,
      heartbeatAt: link.heartbeatAt,
      upToDate: link.heartbeatKey === key,
    }));
    this.#sendHeartbeats(heartbeatRecipients(peers, now), standing, now);
    this.#probeSuccessors(standing, now);
  }

  /** Sends a heartbeat to all peers immediately. */
  announceToAll(now: number): void {
    this.#sendHeartbeats(this.#links.keys(), this.#refreshStanding(now), now);
  }

  /** Sends a heartbeat to all grant peers immediately. */
  announceToGrantPeers(now: number): void {
    const standing = this.#refreshStanding(now);
    const grantPeers = [...this.#links]
      .filter(([name, link]) => this.#isGrantPeer(name, link))
      .map(([name]) => name);
    this.#sendHeartbeats(grantPeers, standing, now);
  }

  /** Sends a heartbeat to the named peers immediately. */
  announceTo(names: Iterable<string>, now: number): void {
    this.#sendHeartbeats(names, this.#refreshStanding(now), now);
  }

  /** Sends the first heartbeat over a link whose peer is not yet identified. */
  sendFirst(link: PeerLink, now: number): void {
    const standing = this.#refreshStanding(now);
    const interval = roundRobinInterval(this.#links.size);
    link.sendHeartbeat({ standing, interval, reply: false }, now);
  }

  /** True for a peer that has exceeded its silence limit. */
  isSilent(name: string, link: PeerLink, now: number): boolean {
    const { probedAt } = link;
    if (probedAt !== undefined && now - probedAt > SILENT_AFTER) return true;
    const silence = now - link.heardAt;
    if (name === this.#granting) {
      return Math.min(silence, now - this.#grantingSince) > SILENT_AFTER;
    }
    return silence > silenceLimit(link.interval);
  }

  /** True until the peer sends a message after a probe. */
  isProbePending(link: PeerLink): boolean {
    return link.probedAt !== undefined;
  }

  /**
   * Returns the standings known to be current. Grant peers announce changes
   * immediately, so any recent message from them is enough; of other peers the
   * heartbeat itself has to be recent.
   */
  currentStandings(now: number): PeerStanding[] {
    const current: PeerStanding[] = [];
    for (const [name, link] of this.#links) {
      const { standing } = link;
      if (standing === undefined) continue;
      const since = this.#isGrantPeer(name, link)
        ? link.heardAt
        : link.standingReceivedAt;
      if (now - since <= SILENT_AFTER) current.push(standing);
    }
    return current;
  }

  #isGrantPeer(name: string, link: PeerLink): boolean {
    return name === this.#granting || link.standing?.asks === this.#instance;
  }

  #refreshStanding(now: number): PeerStanding {
    const standing = this.#standing();
    if (standing.asks !== this.#granting) {
      this.#granting = standing.asks;
      this.#grantingSince = now;
    }
    return standing;
  }

  #sendHeartbeats(
    names: Iterable<string>,
    standing: PeerStanding,
    now: number,
  ): void {
    for (const name of names) this.#sendHeartbeat(name, { standing, now });
  }

  #sendHeartbeat(
    name: string,
    { standing, reply = false, now }: {
      standing: PeerStanding;
      reply?: boolean;
      now: number;
    },
  ): void {
    const link = this.#links.get(name);
    if (link === undefined) return;
    const interval = this.#isGrantPeer(name, link)
      ? HEARTBEAT_EVERY
      : roundRobinInterval(this.#links.size);
    link.sendHeartbeat({ standing, interval, reply }, now);
  }

  /** Probes peers without a recent message when the granting entry is silent. */
  #probeSuccessors(standing: PeerStanding, now: number): void {
    const granting = this.#links.get(this.#granting);
    if (granting === undefined) return;
    const since = Math.max(granting.heardAt, this.#grantingSince);
    if (now - since < SUSPECTED_AFTER) return;
    if (now - this.#probedAt < PROBE_AGAIN_AFTER) return;
    this.#probedAt = now;
    for (const [name, link] of this.#links) {
      if (now - link.heardAt < HEARTBEAT_EVERY) continue;
      link.probedAt = now;
      this.#sendHeartbeat(name, { standing, reply: true, now });
    }
  }
}

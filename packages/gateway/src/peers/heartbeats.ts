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
import type { PeerLink, PeerStatus } from "./peer_link.ts";
import { heartbeatKey } from "./peer_link.ts";

/** Minimum milliseconds between probes of the peers. */
const PROBE_INTERVAL = 1000;

/** Heartbeats over the links of one entry, by the peer's instance name. */
export class Heartbeats {
  readonly #instance: string;
  readonly #links: ReadonlyMap<string, PeerLink>;
  readonly #ownStatus: () => PeerStatus;
  /** The granting entry of this entry, and since when. */
  #grantingEntry = "";
  #grantingEntrySince = -Infinity;
  #probedAt = -Infinity;

  constructor(options: {
    instance: string;
    links: ReadonlyMap<string, PeerLink>;
    ownStatus: () => PeerStatus;
  }) {
    this.#instance = options.instance;
    this.#links = options.links;
    this.#ownStatus = options.ownStatus;
  }

  /** Sends the heartbeats that are due in this round. */
  round(now: number): void {
    const status = this.#refreshOwnStatus(now);
    const key = heartbeatKey(status, HEARTBEAT_EVERY);
    const peers = [...this.#links].map(([name, link]) => ({
      name,
      grantPeer: this.#isGrantPeer(name, link),
      sentAt: link.sentAt,
      heartbeatAt: link.heartbeatAt,
      upToDate: link.heartbeatKey === key,
    }));
    this.#sendHeartbeats(heartbeatRecipients(peers, now), status, now);
    this.#probeSuccessors(status, now);
  }

  /** Sends a heartbeat to all peers immediately. */
  announceToAll(now: number): void {
    this.#sendHeartbeats(this.#links.keys(), this.#refreshOwnStatus(now), now);
  }

  /** Sends a heartbeat to all grant peers immediately. */
  announceToGrantPeers(now: number): void {
    const status = this.#refreshOwnStatus(now);
    const grantPeers = [...this.#links]
      .filter(([name, link]) => this.#isGrantPeer(name, link))
      .map(([name]) => name);
    this.#sendHeartbeats(grantPeers, status, now);
  }

  /** Sends a heartbeat to the named peers immediately. */
  announceTo(names: Iterable<string>, now: number): void {
    this.#sendHeartbeats(names, this.#refreshOwnStatus(now), now);
  }

  /** Sends the first heartbeat over a link whose peer is not yet identified. */
  sendFirst(link: PeerLink, now: number): void {
    const status = this.#refreshOwnStatus(now);
    const interval = roundRobinInterval(this.#links.size);
    link.sendHeartbeat({ status, interval, reply: false }, now);
  }

  /** True for a peer that has exceeded its silence limit. */
  isSilent(name: string, link: PeerLink, now: number): boolean {
    const { probedAt } = link;
    if (probedAt !== undefined && now - probedAt > SILENT_AFTER) return true;
    const silence = now - link.lastReceivedAt;
    if (name === this.#grantingEntry) {
      return Math.min(silence, now - this.#grantingEntrySince) > SILENT_AFTER;
    }
    return silence > silenceLimit(link.interval);
  }

  /** True until the peer sends a message after a probe. */
  isProbePending(link: PeerLink): boolean {
    return link.probedAt !== undefined;
  }

  /**
   * Returns the statuses known to be current. Grant peers announce changes
   * immediately, so any recent message from them is enough; of other peers the
   * heartbeat itself has to be recent.
   */
  currentStatuses(now: number): PeerStatus[] {
    const current: PeerStatus[] = [];
    for (const [name, link] of this.#links) {
      const { status } = link;
      if (status === undefined) continue;
      const since = this.#isGrantPeer(name, link)
        ? link.lastReceivedAt
        : link.statusReceivedAt;
      if (now - since <= SILENT_AFTER) current.push(status);
    }
    return current;
  }

  /** True if one of the two entries grants for the other. */
  #isGrantPeer(name: string, link: PeerLink): boolean {
    return name === this.#grantingEntry || link.status?.asks === this.#instance;
  }

  #refreshOwnStatus(now: number): PeerStatus {
    const status = this.#ownStatus();
    if (status.asks !== this.#grantingEntry) {
      this.#grantingEntry = status.asks;
      this.#grantingEntrySince = now;
    }
    return status;
  }

  #sendHeartbeats(
    names: Iterable<string>,
    status: PeerStatus,
    now: number,
  ): void {
    for (const name of names) this.#sendHeartbeat(name, { status, now });
  }

  #sendHeartbeat(
    name: string,
    { status, reply = false, now }: {
      status: PeerStatus;
      reply?: boolean;
      now: number;
    },
  ): void {
    const link = this.#links.get(name);
    if (link === undefined) return;
    const interval = this.#isGrantPeer(name, link)
      ? HEARTBEAT_EVERY
      : roundRobinInterval(this.#links.size);
    link.sendHeartbeat({ status, interval, reply }, now);
  }

  /** Probes peers without a recent message if the granting entry is silent. */
  #probeSuccessors(status: PeerStatus, now: number): void {
    const grantingLink = this.#links.get(this.#grantingEntry);
    if (grantingLink === undefined) return;
    const since = Math.max(
      grantingLink.lastReceivedAt,
      this.#grantingEntrySince,
    );
    if (now - since < SUSPECTED_AFTER) return;
    if (now - this.#probedAt < PROBE_INTERVAL) return;
    this.#probedAt = now;
    for (const [name, link] of this.#links) {
      if (now - link.lastReceivedAt < HEARTBEAT_EVERY) continue;
      link.probedAt = now;
      this.#sendHeartbeat(name, { status, reply: true, now });
    }
  }
}

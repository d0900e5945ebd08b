/** One connection to another entry, dialled or accepted. @module */
import type { Socket } from "node:net";
import { HEARTBEAT_EVERY } from "@sycamorepulley/decisions";
import { Link } from "@sycamorepulley/protocol";
import { peerMessageSchema } from "./messages.ts";
import type { PeerMessage } from "./messages.ts";

/** Largest frame: a configuration of a thousand routes, several times over. */
const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

/** A peer's last word on itself. */
export type PeerStanding = {
  configurationRevision: number;
  /** The store has told it of that revision, and answers. */
  configurationConfirmed: boolean;
  serverRevision: number;
  leaving: boolean;
  /** The entry that it asks for servers. */
  asks: string;
  /** Shares that all entries have together, as it counts them. */
  shares: number;
  /** Of its instance, in cores. */
  processors: number;
  listed: boolean;
};

/** Content of a heartbeat message; see `peerMessageSchema`. */
export type Heartbeat = {
  standing: PeerStanding;
  interval: number;
  reply: boolean;
};

/** Returns a key that is equal for heartbeats with the same content. */
export function heartbeatKey(standing: PeerStanding, interval: number): string {
  return JSON.stringify([standing, interval]);
}

/** See the module. */
export class PeerLink {
  readonly #link: Link<PeerMessage>;
  /** This side opened it. */
  readonly dialled: boolean;
  heardAt: number;
  instance: string | undefined;
  incarnation = "";
  /** Why this side closed it; empty while it did not. */
  closedFor = "";
  standing: PeerStanding | undefined;
  /** Time at which `standing` was received. */
  standingReceivedAt = -Infinity;
  /** Maximum milliseconds until the peer's next heartbeat, as stated by it. */
  interval = HEARTBEAT_EVERY;
  /** The peer has read the member list from the store. */
  knowsMembers = false;
  /** Time of the last message, and of the last heartbeat, sent to the peer. */
  sentAt = -Infinity;
  heartbeatAt = -Infinity;
  /** Key of the last heartbeat sent; see {@link heartbeatKey}. */
  heartbeatKey = "";
  /** Time of the last probe, while it is unanswered. */
  probedAt: number | undefined;

  constructor(socket: Socket, dialled: boolean, now: number) {
    this.dialled = dialled;
    this.heardAt = now;
    this.#link = new Link<PeerMessage>({
      socket,
      maximumFrameBytes: MAXIMUM_FRAME_BYTES,
      schema: peerMessageSchema,
    });
  }

  get peer(): string {
    return this.instance ?? this.#link.peer;
  }

  send(message: PeerMessage, now: number): void {
    this.sentAt = now;
    this.#link.send(message);
  }

  sendHeartbeat(heartbeat: Heartbeat, now: number): void {
    this.heartbeatAt = now;
    const { standing, interval, reply } = heartbeat;
    this.heartbeatKey = heartbeatKey(standing, interval);
    this.send({ type: "heartbeat", ...standing, interval, reply }, now);
  }

  /** Records the receipt of a message, which also answers a probe. */
  heard(now: number): void {
    this.heardAt = now;
    this.probedAt = undefined;
  }

  messages(): AsyncGenerator<PeerMessage, void> {
    return this.#link.receive();
  }

  close(reason: string): void {
    this.closedFor = reason;
    this.#link.close();
  }
}

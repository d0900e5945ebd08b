/** One connection to another entry, opened by either side. @module */
import type { Socket } from "node:net";
import { HEARTBEAT_EVERY } from "@sycamorepulley/decisions";
import type { StorePosition } from "@sycamorepulley/decisions";
import { Link } from "@sycamorepulley/protocol";
import { peerMessageSchema } from "./messages.ts";
import type { PeerMessage, RolloutMessage } from "./messages.ts";

/** Maximum frame size: several times a configuration of a thousand routes. */
const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

/** The newest known change of a data centre's evacuation. */
export type EvacuationStatus = {
  dataCentre: string;
  evacuated: boolean;
} & StorePosition;

/** Status that a peer announces in its heartbeats. */
export type PeerStatus = {
  configurationRevision: number;
  /** Version of the configuration; earlier versions don't state it. */
  configurationVersion?: number | undefined;
  /** The store confirmed it to the peer, and no call has failed since. */
  configurationConfirmed: boolean;
  /** 0 if the peer's view of the servers is not of `storeEra`. */
  serverRevision: number;
  /** Newest era of the store that the peer knows, if it knows any. */
  storeEra?: number | undefined;
  /** Milliseconds since the store responded to the peer, if it ever has. */
  storeContactAge?: number | undefined;
  /** The peer is draining. */
  leaving: boolean;
  /** The peer's granting entry. */
  asks: string;
  /** Total shares of all entries, as the peer counts them. */
  shares: number;
  /** Processor capacity of the peer's instance, in cores. */
  processors: number;
  /** The other entries certainly count the peer with its full share. */
  listed: boolean;
  /** See `ServerDirectory.leavingUnrecorded`. */
  leavingServers: string[];
  /** See `Evacuations.changes`. */
  evacuations: EvacuationStatus[];
  rollouts: RolloutMessage[];
};

/** Content of a heartbeat message; see `peerMessageSchema`. */
export type Heartbeat = {
  status: PeerStatus;
  interval: number;
  reply: boolean;
};

/**
 * Returns a key that is equal for heartbeats with the same content, except for
 * the ages of the contact with the store and of orders.
 */
export function heartbeatKey(status: PeerStatus, interval: number): string {
  const rollouts = status.rollouts.map((rollout) => ({ ...rollout, age: 0 }));
  const content = { ...status, storeContactAge: undefined, rollouts };
  return JSON.stringify([content, interval]);
}

/** Connection to a peer, with what is known about the peer. */
export class PeerLink {
  readonly #link: Link<PeerMessage>;
  /** Address to which this side opened the connection, if it did. */
  readonly address: string | undefined;
  /** Time of the last message from the peer. */
  lastReceivedAt: number;
  /**
   * Name of the peer; undefined until its hello, and after a duplicate is
   * closed.
   */
  instance: string | undefined;
  incarnation = "";
  /** Why this side closed the connection; empty if it has not. */
  closeReason = "";
  status: PeerStatus | undefined;
  /** Time at which `status` was received. */
  statusReceivedAt = -Infinity;
  /** Maximum milliseconds until the peer's next heartbeat, as stated by it. */
  interval = HEARTBEAT_EVERY;
  /** The peer has read the member list from the store. */
  knowsMembers = false;
  /** No peer had sent its state to the peer when it connected. */
  hasJustStarted = false;
  /** The peer accepts messages about suspects. */
  acceptsSuspects = false;
  /** The peer accepts messages about appointments. */
  acceptsAppointments = false;
  /** The peer accepts messages about what is known of roll-outs. */
  acceptsRolloutHandovers = false;
  /** Time of the last message, and of the last heartbeat, sent to the peer. */
  sentAt = -Infinity;
  heartbeatAt = -Infinity;
  /** Key of the last heartbeat sent; see {@link heartbeatKey}. */
  heartbeatKey = "";
  /** Time of the last probe, while it is unanswered. */
  probedAt: number | undefined;

  constructor(socket: Socket, address: string | undefined, now: number) {
    this.address = address;
    this.lastReceivedAt = now;
    this.#link = new Link<PeerMessage>({
      socket,
      maximumFrameBytes: MAXIMUM_FRAME_BYTES,
      schema: peerMessageSchema,
    });
  }

  /** True if this side opened the connection. */
  get dialled(): boolean {
    return this.address !== undefined;
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
    const { status, interval, reply } = heartbeat;
    this.heartbeatKey = heartbeatKey(status, interval);
    this.send({ type: "heartbeat", ...status, interval, reply }, now);
  }

  /** Records the receipt of a message, which also answers a probe. */
  recordReceipt(now: number): void {
    this.lastReceivedAt = now;
    this.probedAt = undefined;
  }

  messages(): AsyncGenerator<PeerMessage, void> {
    return this.#link.receive();
  }

  close(reason: string): void {
    this.closeReason = reason;
    this.#link.close();
  }
}

/** Passes the events of the links to other entries on to a gateway. @module */
import type { Gateway } from "./gateway.ts";
import type { PeerMessage } from "./peers/messages.ts";
import type { PeerStatus } from "./peers/peer_link.ts";
import { PeerEvents } from "./peers/peers.ts";

export class GatewayPeerEvents extends PeerEvents {
  readonly #gateway: Gateway;

  constructor(gateway: Gateway) {
    super();
    this.#gateway = gateway;
  }

  override onMessage(peer: string, message: PeerMessage): void {
    this.#gateway.handlePeerMessage(peer, message);
  }

  override onPeerConnected(peer: string): void {
    this.#gateway.handlePeerConnected(peer);
  }

  override onGroupChanged(): void {
    this.#gateway.handleGroupChange();
  }

  override onPeerLost(peer: string): void {
    this.#gateway.handlePeerLost(peer);
  }

  override ownStatus(): PeerStatus {
    return this.#gateway.ownStatus();
  }

  override knowsMembers(): boolean {
    return this.#gateway.knowsMembers();
  }

  override hasJustStarted(): boolean {
    return this.#gateway.hasJustStarted();
  }
}

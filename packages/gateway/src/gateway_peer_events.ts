/** Hands to a gateway what its links to other entries hear. @module */
import type { Gateway } from "./gateway.ts";
import type { PeerMessage } from "./peers/messages.ts";
import type { PeerStanding } from "./peers/peer_link.ts";
import { PeerEvents } from "./peers/peers.ts";

/** See the module. */
export class GatewayPeerEvents extends PeerEvents {
  readonly #gateway: Gateway;

  constructor(gateway: Gateway) {
    super();
    this.#gateway = gateway;
  }

  override received(peer: string, message: PeerMessage): void {
    this.#gateway.received(peer, message);
  }

  override joined(peer: string): void {
    this.#gateway.joined(peer);
  }

  override regrouped(): void {
    this.#gateway.regrouped();
  }

  override lost(peer: string): void {
    this.#gateway.lost(peer);
  }

  override standing(): PeerStanding {
    return this.#gateway.standing();
  }

  override knowsMembers(): boolean {
    return this.#gateway.knowsMembers();
  }
}

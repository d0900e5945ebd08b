/**
 * Passing on what the store says, among entries. The store may turn some
 * machines away while it serves others; these learn of new configurations and
 * leaving servers from their peers.
 * @module
 */
import type { FleetState } from "../state/fleet_state.ts";
import type { PeerMessage } from "./messages.ts";
import type { PeerStanding } from "./peer_link.ts";
import type { Peers } from "./peers.ts";

/** Asks peers for what is newer there, and answers them. */
export class StateSharing {
  readonly #state: FleetState;
  readonly #peers: Peers;

  constructor(state: FleetState, peers: Peers) {
    this.#state = state;
    this.#peers = peers;
  }

  /** Takes a message about state; does nothing with any other. */
  received(peer: string, message: PeerMessage): void {
    switch (message.type) {
      case "heartbeat":
        this.#compare(peer, message);
        return;
      case "pull_configuration":
        this.#peers.send(peer, {
          type: "configuration",
          ...this.#state.published,
        });
        return;
      case "configuration":
        this.#state.adopt(message.value, message.revision, peer);
        return;
      case "pull_servers":
        this.#peers.send(peer, {
          type: "servers",
          revision: this.#state.directory.revision,
          records: this.#state.directory.all(),
        });
        return;
      case "servers":
        this.#state.adoptServers(message.records, message.revision, peer);
        return;
      default:
    }
  }

  #compare(peer: string, standing: PeerStanding): void {
    if (standing.configurationRevision > this.#state.published.revision) {
      this.#peers.send(peer, { type: "pull_configuration" });
    }
    if (this.#state.behind(standing.serverRevision)) {
      this.#peers.send(peer, { type: "pull_servers" });
    }
  }
}

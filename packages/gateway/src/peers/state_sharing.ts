/**
 * Passing on what the store says, among entries. The store may turn some
 * machines away while it serves others; these learn of new configurations and
 * leaving servers from their peers.
 * @module
 */
import type { EventLog } from "../observe/event_log.ts";
import type { FleetState } from "../state/fleet_state.ts";
import type { PeerMessage } from "./messages.ts";
import type { PeerStanding } from "./peer_link.ts";
import type { Peers } from "./peers.ts";

/** Asks peers for what is newer there, and answers them. */
export class StateSharing {
  readonly #state: FleetState;
  readonly #peers: Peers;
  readonly #log: EventLog;

  constructor(state: FleetState, peers: Peers, log: EventLog) {
    this.#state = state;
    this.#peers = peers;
    this.#log = log;
  }

  /**
   * True while the configuration known here is certainly the newest: the store
   * confirms it to this entry or to a peer, and no peer has a newer one.
   */
  configurationIsNewest(): boolean {
    const { revision } = this.#state.published;
    const standings = this.#peers.standings();
    const newer = standings.some((standing) =>
      standing.configurationRevision > revision
    );
    if (newer) return false;
    return this.#state.configurationConfirmed ||
      standings.some((standing) =>
        standing.configurationConfirmed &&
        standing.configurationRevision === revision
      );
  }

  /** Takes a message about state; does nothing with any other. */
  received(peer: string, message: PeerMessage): void {
    switch (message.type) {
      case "heartbeat":
        this.#compare(peer, message);
        return;
      case "pull_configuration":
        this.#sendConfiguration(peer);
        return;
      case "configuration":
        this.#state.adopt(message.value, message.revision, peer);
        return;
      case "pull_servers":
        this.#sendServers(peer);
        return;
      case "servers":
        this.#state.adoptServers(message.records, message.revision, peer);
        return;
      default:
    }
  }

  #compare(peer: string, standing: PeerStanding): void {
    if (standing.configurationRevision > this.#state.published.revision) {
      this.#requested("configuration", peer, standing.configurationRevision);
      this.#peers.send(peer, { type: "pull_configuration" });
    }
    if (this.#state.behind(standing.serverRevision)) {
      this.#requested("servers", peer, standing.serverRevision);
      this.#peers.send(peer, { type: "pull_servers" });
    }
  }

  #sendConfiguration(to: string): void {
    const { revision, value } = this.#state.published;
    this.#sent("configuration", to, { revision, size: value.length });
    this.#peers.send(to, { type: "configuration", revision, value });
  }

  #sendServers(to: string): void {
    const { revision } = this.#state.directory;
    const records = this.#state.directory.all();
    this.#sent("servers", to, { revision, size: records.length });
    this.#peers.send(to, { type: "servers", revision, records });
  }

  #requested(state: string, from: string, revision: number): void {
    this.#log.write({ event: "state_requested", state, from, revision });
  }

  #sent(
    state: string,
    to: string,
    what: { revision: number; size: number },
  ): void {
    this.#log.write({ event: "state_sent", state, to, ...what });
  }
}

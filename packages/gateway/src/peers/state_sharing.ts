/**
 * Passing on what the store says, among entries. The store may turn some
 * machines away while it serves others; these learn of new configurations and
 * leaving servers from their peers.
 * @module
 */
import { StatePull } from "@sycamorepulley/decisions";
import type { StateRequest } from "@sycamorepulley/decisions";
import * as v from "valibot";
import type { EventLog } from "../observe/event_log.ts";
import type { FleetState } from "../state/fleet_state.ts";
import { serverSchema } from "./messages.ts";
import type { PeerMessage, StateName } from "./messages.ts";
import type { PeerStanding } from "./peer_link.ts";
import type { Peers } from "./peers.ts";
import { partOf, StateDocuments, textOf } from "./state_documents.ts";

const serversSchema = v.array(serverSchema);

type PullMessage = Extract<PeerMessage, { type: "pull_state" }>;
type PartMessage = Extract<PeerMessage, { type: "state_part" }>;

/** One kind of state: where it is asked for, and what peers are sent. */
class Shared {
  readonly pull = new StatePull();
  readonly documents = new StateDocuments();
}

/** Asks peers for what is newer there, and answers them. */
export class StateSharing {
  readonly #state: FleetState;
  readonly #peers: Peers;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #random: () => number;
  readonly #shared: Record<StateName, Shared> = {
    configuration: new Shared(),
    servers: new Shared(),
  };

  constructor(options: {
    state: FleetState;
    peers: Peers;
    log: EventLog;
    clock: () => number;
    random: () => number;
  }) {
    this.#state = options.state;
    this.#peers = options.peers;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#random = options.random;
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
      this.#peers.currentStandings().some((standing) =>
        standing.configurationConfirmed &&
        standing.configurationRevision === revision
      );
  }

  /** Takes a message about state; does nothing with any other. */
  received(peer: string, message: PeerMessage): void {
    switch (message.type) {
      case "heartbeat":
        this.#offered(peer, message);
        return;
      case "pull_state":
        void this.#answer(peer, message);
        return;
      case "state_part":
        void this.#take(peer, message);
        return;
      default:
    }
  }

  lost(peer: string): void {
    for (const { pull } of Object.values(this.#shared)) pull.removePeer(peer);
  }

  /** Looks whether a peer is to be asked for what it has. */
  tick(): void {
    this.#look("configuration");
    this.#look("servers");
  }

  #offered(peer: string, standing: PeerStanding): void {
    const { configuration, servers } = this.#shared;
    configuration.pull.recordOffer(peer, standing.configurationRevision);
    servers.pull.recordOffer(peer, standing.serverRevision);
    this.tick();
  }

  #look(state: StateName): void {
    const { pull } = this.#shared[state];
    const known = this.#revision(state);
    const request = pull.nextRequest(known, this.#clock(), this.#random());
    if (request !== undefined) this.#ask(state, request);
  }

  #ask(state: StateName, { peer, revision, offset }: StateRequest): void {
    if (offset === 0) {
      this.#log.write({
        event: "state_requested",
        state,
        from: peer,
        revision,
      });
    }
    this.#peers.send(peer, { type: "pull_state", state, revision, offset });
  }

  async #answer(peer: string, message: PullMessage): Promise<void> {
    const { state, offset } = message;
    const document = await this.#shared[state].documents.get(
      message.revision,
      { revision: this.#revision(state), text: () => this.#text(state) },
    );
    const { revision, bytes } = document;
    const total = bytes.length;
    if (offset === 0) {
      this.#log.write({
        event: "state_sent",
        state,
        to: peer,
        revision,
        size: total,
      });
    }
    this.#peers.send(peer, {
      type: "state_part",
      state,
      revision,
      offset,
      total,
      bytes: partOf(document, offset),
    });
  }

  async #take(peer: string, message: PartMessage): Promise<void> {
    const { state } = message;
    const { pull } = this.#shared[state];
    const step = pull.receivePart(peer, message, this.#clock());
    if (step.kind === "ask") this.#ask(state, step.request);
    if (step.kind !== "whole") return;
    const { revision } = step;
    const text = await textOf(step.parts);
    if (text.isErr) {
      pull.markCorrupted(peer);
      this.#unreadable(state, { from: peer, revision, detail: text.error });
      return;
    }
    const value = { revision, text: text.value };
    const used = state === "configuration"
      ? this.#state.adopt(value.text, revision, peer)
      : this.#adoptServers(value, peer);
    if (!used) pull.markUnusable(revision);
  }

  /** False for records that can't be read. */
  #adoptServers(
    { revision, text }: { revision: number; text: string },
    from: string,
  ): boolean {
    const records = v.safeParse(serversSchema, parsed(text));
    if (!records.success) {
      const detail = records.issues[0].message;
      this.#unreadable("servers", { from, revision, detail });
      return false;
    }
    this.#state.adoptServers(records.output, revision, from);
    return true;
  }

  #unreadable(
    state: StateName,
    what: { from: string; revision: number; detail: string },
  ): void {
    this.#log.write({ event: "state_unreadable", state, ...what });
  }

  #revision(state: StateName): number {
    return state === "configuration"
      ? this.#state.published.revision
      : this.#state.directory.revision;
  }

  #text(state: StateName): string {
    return state === "configuration"
      ? this.#state.published.value
      : JSON.stringify(this.#state.directory.all());
  }
}

function parsed(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Shares the store's state between entries. The store may reject the calls of
 * some machines while it serves others; the entries on those machines learn of
 * new configurations and draining servers from their peers.
 * @module
 */
import { StatePull } from "@sycamorepulley/decisions";
import type { ServerState, StateRequest } from "@sycamorepulley/decisions";
import * as v from "valibot";
import type { EventLog } from "../observe/event_log.ts";
import type { FleetState } from "../state/fleet_state.ts";
import { serverSchema } from "./messages.ts";
import type { PeerMessage, StateName } from "./messages.ts";
import type { PeerStatus } from "./peer_link.ts";
import type { Peers } from "./peers.ts";
import {
  decompressDocument,
  documentPart,
  StateDocuments,
} from "./state_documents.ts";

const serversSchema = v.array(serverSchema);

type PullStateMessage = Extract<PeerMessage, { type: "pull_state" }>;
type StatePartMessage = Extract<PeerMessage, { type: "state_part" }>;

/** Transfers of one kind of state: `pull` from peers, `documents` to peers. */
class StateTransfer {
  readonly pull = new StatePull();
  readonly documents = new StateDocuments();
}

/** Requests newer state from peers, and answers their requests. */
export class StateSharing {
  readonly #state: FleetState;
  readonly #peers: Peers;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #random: () => number;
  readonly #transfers: Record<StateName, StateTransfer> = {
    configuration: new StateTransfer(),
    servers: new StateTransfer(),
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
   * True if the configuration in force is certainly the newest: the store
   * confirms it to this entry or to a peer, and no peer has a newer one.
   */
  configurationIsNewest(): boolean {
    const { revision } = this.#state.publishedConfiguration;
    const statuses = this.#peers.statuses();
    const newer = statuses.some((status) =>
      status.configurationRevision > revision
    );
    if (newer) return false;
    return this.#state.configurationConfirmed ||
      this.#peers.currentStatuses().some((status) =>
        status.configurationConfirmed &&
        status.configurationRevision === revision
      );
  }

  /** Handles a message about state; ignores any other. */
  handleMessage(peer: string, message: PeerMessage): void {
    switch (message.type) {
      case "heartbeat":
        this.#recordOffer(peer, message);
        return;
      case "pull_state":
        void this.#sendPart(peer, message);
        return;
      case "state_part":
        void this.#receivePart(peer, message);
        return;
      default:
    }
  }

  removePeer(peer: string): void {
    for (const { pull } of Object.values(this.#transfers)) {
      pull.removePeer(peer);
    }
  }

  /** Requests newer state from a peer where a request is due. */
  tick(): void {
    this.#requestIfDue("configuration");
    this.#requestIfDue("servers");
  }

  #recordOffer(peer: string, status: PeerStatus): void {
    const { configuration, servers } = this.#transfers;
    configuration.pull.recordOffer(peer, status.configurationRevision);
    servers.pull.recordOffer(peer, status.serverRevision);
    this.tick();
  }

  #requestIfDue(state: StateName): void {
    const { pull } = this.#transfers[state];
    const known = this.#revision(state);
    const request = pull.nextRequest(known, this.#clock(), this.#random());
    if (request !== undefined) this.#sendRequest(state, request);
  }

  #sendRequest(
    state: StateName,
    { peer, revision, offset }: StateRequest,
  ): void {
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

  async #sendPart(peer: string, message: PullStateMessage): Promise<void> {
    const { state, offset } = message;
    const document = await this.#transfers[state].documents.get(
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
      bytes: documentPart(document, offset),
    });
  }

  async #receivePart(peer: string, message: StatePartMessage): Promise<void> {
    const { state } = message;
    const { pull } = this.#transfers[state];
    const step = pull.receivePart(peer, message, this.#clock());
    if (step.kind === "ask") this.#sendRequest(state, step.request);
    if (step.kind !== "whole") return;
    const { revision } = step;
    const text = await decompressDocument(step.parts);
    if (text.isErr) {
      pull.markCorrupted(peer);
      this.#logUnreadable(state, { from: peer, revision, detail: text.error });
      return;
    }
    const received = { revision, text: text.value };
    const usable = state === "configuration"
      ? this.#state.adoptConfiguration(received.text, revision, peer)
      : this.#adoptServers(received, peer);
    if (!usable) pull.markUnusable(revision);
  }

  /** Returns false for records that can't be read. */
  #adoptServers(
    { revision, text }: { revision: number; text: string },
    from: string,
  ): boolean {
    const records = v.safeParse(serversSchema, parseJson(text));
    if (!records.success) {
      const detail = records.issues[0].message;
      this.#logUnreadable("servers", { from, revision, detail });
      return false;
    }
    const servers = records.output.map(decodeServerState);
    this.#state.adoptServers(servers, revision, from);
    return true;
  }

  #logUnreadable(
    state: StateName,
    details: { from: string; revision: number; detail: string },
  ): void {
    this.#log.write({ event: "state_unreadable", state, ...details });
  }

  #revision(state: StateName): number {
    return state === "configuration"
      ? this.#state.publishedConfiguration.revision
      : this.#state.directory.revision;
  }

  #text(state: StateName): string {
    return state === "configuration"
      ? this.#state.publishedConfiguration.value
      : JSON.stringify(this.#state.directory.registered().map(encodeServer));
  }
}

function encodeServer({ revision, record }: ServerState): object {
  return { ...record, revision };
}

function decodeServerState(
  { revision, ...record }: v.InferOutput<typeof serverSchema>,
): ServerState {
  return { id: record.id, revision, record };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

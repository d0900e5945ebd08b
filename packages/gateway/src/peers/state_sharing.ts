/**
 * Shares the store's state between entries. The store may reject the calls of
 * some machines while it serves others; the entries on those machines learn of
 * new configurations and draining servers from their peers.
 * @module
 */
import type {
  ServerState,
  StatePosition,
  StatePull,
  StateRequest,
  StorePosition,
} from "@sycamorepulley/decisions";
import * as v from "valibot";
import type { EventLog } from "../observe/event_log.ts";
import type { FleetState } from "../state/fleet_state.ts";
import type { StoreContact } from "../state/store_contact.ts";
import { serverRecordOf, storedServerOf } from "../state/server_state_codec.ts";
import { serverSchema } from "./messages.ts";
import type { PeerMessage, StateName } from "./messages.ts";
import type { PeerStatus } from "./peer_link.ts";
import type { Peers } from "./peers.ts";
import { ConfigurationPull, ServerPull } from "./state_pulls.ts";
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
  readonly pull: StatePull;
  readonly documents = new StateDocuments();

  constructor(pull: StatePull) {
    this.pull = pull;
  }
}

/** Requests newer state from peers, and answers their requests. */
export class StateSharing {
  readonly #state: FleetState;
  readonly #peers: Peers;
  readonly #contact: StoreContact;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #random: () => number;
  readonly #transfers: Record<StateName, StateTransfer> = {
    configuration: new StateTransfer(new ConfigurationPull()),
    servers: new StateTransfer(new ServerPull()),
  };

  constructor(options: {
    state: FleetState;
    peers: Peers;
    contact: StoreContact;
    log: EventLog;
    clock: () => number;
    random: () => number;
  }) {
    this.#state = options.state;
    this.#peers = options.peers;
    this.#contact = options.contact;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#random = options.random;
  }

  /**
   * True if the configuration in force is certainly the newest: the store
   * confirms it to this entry or to a peer, and no peer has a newer one.
   */
  configurationIsNewest(): boolean {
    const { pull } = this.#transfers.configuration;
    const known = this.#position("configuration");
    const newer = this.#peers.statuses().some((status) =>
      pull.isNewer(offeredConfiguration(status), known)
    );
    if (newer) return false;
    return this.#state.configurationConfirmed ||
      this.#peers.currentStatuses().some((status) =>
        status.configurationConfirmed &&
        status.storeEra === this.#contact.era &&
        !pull.isNewer(known, offeredConfiguration(status))
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
    configuration.pull.recordOffer(peer, offeredConfiguration(status));
    const { storeEra: era = 0, serverRevision: revision } = status;
    servers.pull.recordOffer(peer, { era, revision });
    this.tick();
  }

  #requestIfDue(state: StateName): void {
    const { pull } = this.#transfers[state];
    const known = this.#position(state);
    const request = pull.nextRequest(known, this.#clock(), this.#random());
    if (request !== undefined) this.#sendRequest(state, request);
  }

  #sendRequest(
    state: StateName,
    { peer, position, offset }: StateRequest,
  ): void {
    if (offset === 0) {
      this.#log.write({
        event: "state_requested",
        state,
        from: peer,
        ...position,
      });
    }
    this.#peers.send(peer, { type: "pull_state", state, ...position, offset });
  }

  async #sendPart(peer: string, message: PullStateMessage): Promise<void> {
    const { state, offset } = message;
    const document = await this.#transfers[state].documents.get(
      positionOf(message),
      { position: this.#position(state), text: () => this.#text(state) },
    );
    const { position, bytes } = document;
    const total = bytes.length;
    if (offset === 0) {
      this.#log.write({
        event: "state_sent",
        state,
        to: peer,
        ...position,
        size: total,
      });
      // The receiver skips what the store wrote before this configuration, so
      // it has to know the evacuations among it first.
      this.#peers.announceTo([peer]);
    }
    this.#peers.send(peer, {
      type: "state_part",
      state,
      ...position,
      offset,
      total,
      bytes: documentPart(document, offset),
    });
  }

  async #receivePart(peer: string, message: StatePartMessage): Promise<void> {
    const { state } = message;
    const { pull } = this.#transfers[state];
    const part = { ...message, position: positionOf(message) };
    const step = pull.receivePart(peer, part, this.#clock());
    if (step.kind === "ask") this.#sendRequest(state, step.request);
    if (step.kind !== "whole") return;
    const { position } = step;
    const text = await decompressDocument(step.parts);
    if (text.isErr) {
      pull.markCorrupted(peer);
      this.#logUnreadable(state, { from: peer, position, detail: text.error });
      return;
    }
    const { era, revision } = position;
    const received = { text: text.value, position: { era, revision } };
    const usable = state === "configuration"
      ? this.#state.adoptConfiguration(received.text, received.position, peer)
      : this.#adoptServers(received, peer);
    if (!usable) pull.markUnusable(position);
  }

  /** Returns false for records that can't be read. */
  #adoptServers(
    { position, text }: { position: StorePosition; text: string },
    from: string,
  ): boolean {
    const records = v.safeParse(serversSchema, parseJson(text));
    if (!records.success) {
      const detail = records.issues[0].message;
      this.#logUnreadable("servers", { from, position, detail });
      return false;
    }
    const servers = records.output
      .map((record) => decodeServerState(record, position.era, this.#clock()));
    this.#state.adoptServers(servers, position, from);
    return true;
  }

  #logUnreadable(
    state: StateName,
    { position, ...details }: {
      from: string;
      position: StatePosition;
      detail: string;
    },
  ): void {
    this.#log
      .write({ event: "state_unreadable", state, ...position, ...details });
  }

  #position(state: StateName): StatePosition {
    if (state === "servers") return this.#state.directory.position;
    const { version, position } = this.#state.publishedConfiguration;
    return { ...position, version };
  }

  #text(state: StateName): string {
    return state === "configuration"
      ? this.#state.publishedConfiguration.value
      : JSON.stringify(
        this.#state.directory.registered()
          .map((state) => encodeServer(state, this.#clock())),
      );
  }
}

/** A peer's configuration; its era does not matter to its order. */
function offeredConfiguration(
  { configurationRevision, configurationVersion }: PeerStatus,
): StatePosition {
  const version = configurationVersion;
  return { era: 0, revision: configurationRevision, version };
}

function positionOf({ era, revision, version }: StatePosition): StatePosition {
  return { era, revision, version };
}

function encodeServer(
  { position, record }: ServerState,
  now: number,
): object {
  const stored = record && storedServerOf(record, now);
  return { ...stored, revision: position.revision };
}

/** `era`: the one of the view that contains the record. */
function decodeServerState(
  { revision, ...record }: v.InferOutput<typeof serverSchema>,
  era: number,
  now: number,
): ServerState {
  return {
    id: record.id,
    position: { era, revision },
    record: serverRecordOf(record, now),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

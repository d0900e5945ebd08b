/**
 * The fleet as known to this process: the configuration, the backend servers
 * and the other entries. Updated from the store, and from peers while the store
 * can't be reached; never goes back to an older state, also when the store is
 * restored from an older copy.
 * @module
 */
import {
  Evacuations,
  FIRST_POSITION,
  isLater,
  laterOf,
  MembershipList,
  ServerDirectory,
} from "@sycamorepulley/decisions";
import type {
  EvacuationChange,
  ServerChange,
  ServerState,
  StorePosition,
} from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import type { EventLog } from "../observe/event_log.ts";
import { KnownRollouts } from "../rollouts/known_rollouts.ts";
import type {
  RolloutChange,
  RolloutStatement,
} from "../rollouts/known_rollouts.ts";
import { ActiveConfiguration } from "./gateway_configuration.ts";
import type { GatewayConfiguration } from "./gateway_configuration.ts";
import type { PrefixListener } from "./prefix_follower.ts";
import type { RecordCodec } from "./record_codec.ts";
import { serverRecordOf } from "./server_state_codec.ts";
import { StateListener } from "./state_listener.ts";
import type { StoreContact } from "./store_contact.ts";

/** Address of an entry for its peers. */
export type Member = { instance: string; host: string; port: number };

/** An entry, and the milliseconds for which it will still be counted. */
export type KnownMember = Member & { countedFor: number };

/**
 * Stored text of the configuration, for peers that can't reach the store, and
 * where it was written; version 0 if there is none.
 */
export type PublishedConfiguration = {
  version: number;
  position: StorePosition;
  value: string;
};

/** Called on every change of the state. */
export type StateChangeCallback = (
  kind: "configuration" | "servers" | "members" | "evacuations" | "rollouts",
) => void;

export class FleetState {
  readonly directory = new ServerDirectory();
  /** Data centres whose servers may not be sent requests. */
  readonly evacuations = new Evacuations();
  readonly rollouts = new KnownRollouts();
  /** Registered entries, by instance name. */
  readonly members = new Map<string, Member>();
  readonly membershipList = new MembershipList();
  /** Entries that are no longer registered, or known from peers only. */
  readonly #unregistered = new Map<string, Member>();
  readonly #codec: RecordCodec;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #onChange: StateChangeCallback;
  #activeConfiguration: ActiveConfiguration | undefined;
  #publishedConfiguration: PublishedConfiguration = {
    version: 0,
    position: FIRST_POSITION,
    value: "",
  };
  #configurationConfirmed = false;
  #serversKnown = false;
  #membersKnown = false;
  #membersReadFromStore = false;

  constructor(
    options: {
      codec: RecordCodec;
      log: EventLog;
      clock: () => number;
      contact: StoreContact;
      onChange: StateChangeCallback;
    },
  ) {
    this.#codec = options.codec;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#onChange = options.onChange;
    const { contact } = options;
    contact.addListener(this.directory);
    contact.addListener({
      recordStoreResponse: () => {},
      recordStoreFailure: () => this.#configurationConfirmed = false,
    });
    contact.onRestore((now) => {
      this.directory.recordRestore(now);
      this.#configurationConfirmed = false;
    });
  }

  get activeConfiguration(): ActiveConfiguration | undefined {
    return this.#activeConfiguration;
  }

  get publishedConfiguration(): PublishedConfiguration {
    return this.#publishedConfiguration;
  }

  /**
   * True from the time at which the store confirms the configuration until a
   * call to the store fails.
   */
  get configurationConfirmed(): boolean {
    return this.#configurationConfirmed;
  }

  /** True once servers have been received from the store or a peer. */
  get serversKnown(): boolean {
    return this.#serversKnown;
  }

  /** True once a member list has been received from the store or a peer. */
  get membersKnown(): boolean {
    return this.#membersKnown;
  }

  /** True once the member list has been read from the store. */
  get membersReadFromStore(): boolean {
    return this.#membersReadFromStore;
  }

  /**
   * Adopts a configuration of a newer version; others and unreadable ones
   * change nothing. Returns true if its version is in force then.
   */
  adoptConfiguration(
    value: string,
    position: StorePosition,
    from: string,
  ): boolean {
    const decoded = this.#decodeConfiguration(value);
    if (decoded.isErr) {
      this.#log.write({
        event: "configuration_unreadable",
        ...position,
        from,
        detail: decoded.error,
      });
      return false;
    }
    const { version } = decoded.value;
    const published = this.#publishedConfiguration;
    const isNewer = this.#activeConfiguration === undefined ||
      version > published.version;
    if (!isNewer && version === published.version) {
      const later = laterOf(published.position, position);
      this.#publishedConfiguration = { ...published, position: later };
      return true;
    }
    const event = isNewer ? "configuration_adopted" : "configuration_outdated";
    this.#log.write({ event, version, ...position, from });
    if (!isNewer) return false;
    this.#publishedConfiguration = { version, position, value };
    this.#activeConfiguration = new ActiveConfiguration(decoded.value);
    this.directory.setServices(this.#activeConfiguration.services);
    this.#onChange("configuration");
    return true;
  }

  /** Decodes a stored configuration, except for the one in force. */
  #decodeConfiguration(value: string): Result<GatewayConfiguration, string> {
    return this.#activeConfiguration !== undefined &&
        value === this.#publishedConfiguration.value
      ? Result.ok(this.#activeConfiguration.configuration)
      : this.#codec.decodeConfiguration(value);
  }

  /** Merges a peer's servers if they are newer than those known here. */
  adoptServers(
    servers: readonly ServerState[],
    position: StorePosition,
    from: string,
  ): void {
    if (!isLater(position, this.directory.position)) return;
    const changes = this.directory.merge(servers, position, this.#clock());
    this.#serversKnown = true;
    const count = servers.length;
    this.#log.write({ event: "servers_adopted", from, ...position, count });
    this.#logServerChanges(changes, from);
    this.#onChange("servers");
  }

  /**
   * Records that servers leave, according to their responses or to a peer.
   * `by` is this entry or the peer. Returns false if all of it was known.
   */
  recordLeaving(incarnations: readonly string[], by: string): boolean {
    const news = incarnations
      .filter((server) => this.directory.markLeaving(server));
    for (const server of news) {
      this.#log.write({ event: "server_leaving", server, by });
    }
    if (news.length > 0) this.#onChange("servers");
    return news.length > 0;
  }

  /** Merges evacuations that the store or a peer, `from`, states. */
  applyEvacuations(changes: readonly EvacuationChange[], from: string): void {
    this.#reportEvacuations(
      changes.filter((change) => this.evacuations.apply(change)),
      from,
    );
  }

  /** Merges a complete read of the evacuations in the store. */
  mergeStoredEvacuations(
    stored: readonly EvacuationChange[],
    asOf: StorePosition,
  ): void {
    const changes = this.evacuations.mergeStoreRead(stored, asOf);
    this.#reportEvacuations(changes, "store");
  }

  #reportEvacuations(changes: readonly EvacuationChange[], from: string): void {
    for (const { dataCentre, evacuated, position } of changes) {
      const event = evacuated ? "evacuation_started" : "evacuation_ended";
      this.#log.write({ event, dataCentre, ...position, from });
    }
    if (changes.length > 0) this.#onChange("evacuations");
  }

  /** Applies orders of roll-outs, or their removals, from the store. */
  applyRollouts(changes: readonly RolloutChange[], from: string): void {
    const now = this.#clock();
    this.#reportRollouts(
      changes.filter((change) => this.rollouts.apply(change, now)),
      from,
    );
  }

  /** Merges a complete read of the store as of `asOf`. */
  mergeStoredRollouts(
    stored: readonly RolloutChange[],
    asOf: StorePosition,
  ): void {
    const now = this.#clock();
    const changes = this.rollouts.mergeStoreRead(stored, asOf, now);
    this.#reportRollouts(changes, "store");
  }

  /** Merges what a peer, `from`, knows of roll-outs. */
  mergeRollouts(statements: readonly RolloutStatement[], from: string): void {
    const now = this.#clock();
    this.#reportRollouts(
      statements.filter((statement) => this.rollouts.merge(statement, now)),
      from,
    );
  }

  #reportRollouts(changes: readonly RolloutChange[], from: string): void {
    for (const { service, position, version } of changes) {
      const rollout = this.rollouts.find(service);
      const event = rollout === undefined
        ? "rollout_removed"
        : "rollout_changed";
      const progress = rollout?.progress;
      this.#log.write({
        event,
        service,
        ...version,
        ...position,
        ...(progress && { progress }),
        from,
      });
    }
    if (changes.length > 0) this.#onChange("rollouts");
  }

  /** `age`: milliseconds since the store responded to a peer. */
  recordPeerContact(age: number | undefined): void {
    if (age === undefined) return;
    this.directory.recordPeerContact(this.#clock() - Math.max(0, age));
  }

  /** Entries that are not registered but may still run. */
  unregistered(): Map<string, Member> {
    const shares = this.membershipList.shares(this.#clock());
    for (const name of this.#unregistered.keys()) {
      if (!shares.has(name) || this.members.has(name)) {
        this.#unregistered.delete(name);
      }
    }
    return this.#unregistered;
  }

  /** Member list for a peer: the entries that are counted or `connected`. */
  knownMembers(connected: ReadonlySet<string>): KnownMember[] {
    const members = new Map([...this.unregistered(), ...this.members]);
    const times = this.membershipList.countedFor(this.#clock());
    return [...members].map(([name, member]) => ({
      ...member,
      countedFor: times.get(name) ?? 0,
    })).filter(({ instance, countedFor }) =>
      countedFor > 0 || connected.has(instance)
    );
  }

  /** Those of {@link knownMembers} that are not registered in the store. */
  knownUnregisteredMembers(connected: ReadonlySet<string>): KnownMember[] {
    return this.knownMembers(connected)
      .filter(({ instance }) => !this.members.has(instance));
  }

  /** Merges a peer's member list. */
  mergeMembers(members: readonly KnownMember[]): void {
    const now = this.#clock();
    for (const { countedFor, ...member } of members) {
      if (this.members.has(member.instance)) continue;
      this.membershipList.mergeFromPeer(member.instance, countedFor, now);
      this.#unregistered.set(member.instance, member);
    }
    this.#membersKnown = true;
    this.#onChange("members");
  }

  /**
   * Confirms the configuration in force after a read of the store. A store that
   * was restored and holds an older version confirms nothing, since nobody
   * knows what else it has lost.
   */
  confirmConfiguration(era: number): void {
    const { position } = this.#publishedConfiguration;
    this.#configurationConfirmed = position.era === era;
  }

  /** Returns a listener for the backend servers' keys. */
  serverListener(): PrefixListener {
    // Several changes may have the same position, so the directory's advances
    // only after the last of a batch.
    let newest = FIRST_POSITION;
    return new StateListener({
      onSnapshot: (items, asOf) => {
        const states = items.map((item) => this.#decodeServer(item, asOf.era));
        const changes = this.directory.mergeStoreRead(
          states,
          asOf,
          this.#clock(),
        );
        this.#serversKnown = true;
        this.#logServerChanges(changes, "store");
        this.#onChange("servers");
      },
      onChange: (change, era) => {
        newest = laterOf(newest, this.#applyServerChange(change, era));
      },
      onBatchEnd: (_era, hasChanges) => {
        this.directory.advance(newest);
        if (hasChanges) this.#onChange("servers");
      },
    });
  }

  /** Returns a listener for the keys under which entries register. */
  memberListener(
    prefix: string,
    decode: (value: string) => Member | undefined,
  ): PrefixListener {
    const put = (item: StoredItem) => {
      const member = decode(item.value);
      if (member === undefined) return;
      const name = item.key.slice(prefix.length);
      this.members.set(name, member);
      this.membershipList.markRegistered(name);
    };
    return new StateListener({
      onSnapshot: (items) => {
        for (const [name, member] of this.members) {
          this.#unregistered.set(name, member);
        }
        this.members.clear();
        items.forEach(put);
        this.membershipList.replace(this.members.keys(), this.#clock());
        this.#membersKnown = true;
        this.#membersReadFromStore = true;
        this.#onChange("members");
      },
      onChange: (change) => {
        if (change.kind === "written") put(change.item);
        else this.#unregister(change.key.slice(prefix.length));
      },
      onBatchEnd: (_era, hasChanges) => {
        if (hasChanges) this.#onChange("members");
      },
    });
  }

  #unregister(name: string): void {
    const member = this.members.get(name);
    if (member !== undefined) this.#unregistered.set(name, member);
    this.members.delete(name);
    this.membershipList.markUnregistered(name, this.#clock());
  }

  /** Adopts a configuration that was read; ignores any other item. */
  readConfiguration({ key, value, revision }: StoredItem, era: number): void {
    if (key !== this.#codec.configurationKey) return;
    this.adoptConfiguration(value, { era, revision }, "store");
  }

  #decodeServer(
    { key, value, revision }: StoredItem,
    era: number,
  ): ServerState {
    const id = key.slice(this.#codec.serverPrefix.length);
    const stored = this.#codec.decodeServer(id, value);
    const record = stored && serverRecordOf(stored, this.#clock());
    return { id, position: { era, revision }, record };
  }

  /** Applies a change, and returns its position. */
  #applyServerChange(change: ItemChange, era: number): StorePosition {
    const state = change.kind === "written"
      ? this.#decodeServer(change.item, era)
      : this.#removedServer(change, era);
    const changes = this.directory.apply(state, this.#clock());
    this.#logServerChanges(changes, "store");
    return state.position;
  }

  #removedServer(
    { key, revision }: { key: string; revision: number },
    era: number,
  ): ServerState {
    const id = key.slice(this.#codec.serverPrefix.length);
    return { id, position: { era, revision }, record: undefined };
  }

  #logServerChanges(changes: readonly ServerChange[], from: string): void {
    for (const change of changes) {
      this.#log.write({ event: "server_changed", ...change, from });
    }
  }
}

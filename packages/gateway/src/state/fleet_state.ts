/**
 * The fleet as known to this process: the configuration, the backend servers
 * and the other entries. Updated from the store, and from peers while the store
 * can't be reached; never goes back to an older revision.
 * @module
 */
import { MembershipList, ServerDirectory } from "@sycamorepulley/decisions";
import type { ServerChange, ServerState } from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import type { EventLog } from "../observe/event_log.ts";
import { ActiveConfiguration } from "./gateway_configuration.ts";
import type { PrefixListener } from "./prefix_follower.ts";
import type { RecordCodec } from "./record_codec.ts";
import { StateListener } from "./state_listener.ts";
import type { StoreContact } from "./store_contact.ts";

/** Address of an entry for its peers. */
export type Member = { instance: string; host: string; port: number };

/** An entry, and the milliseconds for which it will still be counted. */
export type KnownMember = Member & { countedFor: number };

/** Stored text of the configuration, for peers that can't reach the store. */
export type PublishedConfiguration = { revision: number; value: string };

/** Called on every change of the state. */
export type StateChangeCallback = (
  kind: "configuration" | "servers" | "members",
) => void;

export class FleetState {
  readonly directory = new ServerDirectory();
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
  #publishedConfiguration: PublishedConfiguration = { revision: 0, value: "" };
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
    options.contact.addListener(this.directory);
    options.contact.addListener({
      recordStoreResponse: () => {},
      recordStoreFailure: () => this.#configurationConfirmed = false,
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
   * Adopts a newer configuration; older and unreadable ones change nothing.
   * Returns false for one that can't be read.
   */
  adoptConfiguration(value: string, revision: number, from: string): boolean {
    if (revision <= this.#publishedConfiguration.revision) return true;
    const decoded = this.#codec.decodeConfiguration(value);
    if (decoded.isErr) {
      this.#log.write({
        event: "configuration_unreadable",
        revision,
        from,
        detail: decoded.error,
      });
      return false;
    }
    this.#publishedConfiguration = { revision, value };
    this.#activeConfiguration = new ActiveConfiguration(decoded.value);
    this.#log.write({
      event: "configuration_adopted",
      version: decoded.value.version,
      revision,
      from,
    });
    this.#onChange("configuration");
    return true;
  }

  /** Merges a peer's servers if they are newer than those known here. */
  adoptServers(
    servers: readonly ServerState[],
    revision: number,
    from: string,
  ): void {
    if (revision <= this.directory.revision) return;
    const changes = this.directory.merge(servers, revision, this.#clock());
    this.#serversKnown = true;
    this.#log.write({
      event: "servers_adopted",
      from,
      revision,
      count: servers.length,
    });
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

  /** Returns a listener for the configuration's key. */
  configurationListener(): PrefixListener {
    return new StateListener({
      onSnapshot: (items) => {
        items.forEach((item) => this.#readConfiguration(item));
        this.#configurationConfirmed = true;
      },
      onChange: (change) => {
        if (change.kind === "written") this.#readConfiguration(change.item);
      },
      onBatchEnd: () => this.#configurationConfirmed = true,
    });
  }

  /** Returns a listener for the backend servers' keys. */
  serverListener(): PrefixListener {
    // Several changes may have the same revision, so the directory's advances
    // only after the last of a batch.
    let newestRevision = 0;
    return new StateListener({
      onSnapshot: (items, asOf) => {
        const states = items.map((item) => this.#decodeServer(item));
        const changes = this.directory.mergeStoreRead(
          states,
          asOf,
          this.#clock(),
        );
        this.#serversKnown = true;
        this.#logServerChanges(changes, "store");
        this.#onChange("servers");
      },
      onChange: (change) => {
        const revision = this.#applyServerChange(change);
        newestRevision = Math.max(newestRevision, revision);
      },
      onBatchEnd: (_asOf, hasChanges) => {
        this.directory.advance(newestRevision);
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
      onBatchEnd: (_asOf, hasChanges) => {
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

  #readConfiguration(item: StoredItem): void {
    if (item.key !== this.#codec.configurationKey) return;
    this.adoptConfiguration(item.value, item.revision, "store");
  }

  #decodeServer({ key, value, revision }: StoredItem): ServerState {
    const id = key.slice(this.#codec.serverPrefix.length);
    return { id, revision, record: this.#codec.decodeServer(id, value) };
  }

  /** Applies a change, and returns its revision. */
  #applyServerChange(change: ItemChange): number {
    const state = change.kind === "written"
      ? this.#decodeServer(change.item)
      : this.#removedServer(change);
    const changes = this.directory.apply(state, this.#clock());
    this.#logServerChanges(changes, "store");
    return state.revision;
  }

  #removedServer(
    { key, revision }: { key: string; revision: number },
  ): ServerState {
    const id = key.slice(this.#codec.serverPrefix.length);
    return { id, revision, record: undefined };
  }

  #logServerChanges(changes: readonly ServerChange[], from: string): void {
    for (const change of changes) {
      this.#log.write({ event: "server_changed", ...change, from });
    }
  }
}

/**
 * What this process believes: the configuration, the backend servers, the other
 * entries. Fed by the store, and by peers while the store can't be reached;
 * only ever moves forward.
 * @module
 */
import { MembershipList, ServerDirectory } from "@sycamorepulley/decisions";
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { ItemChange, StoredItem } from "@sycamorepulley/store";
import type { EventLog } from "../observe/event_log.ts";
import { ActiveConfiguration } from "./gateway_configuration.ts";
import type { PrefixListener } from "./prefix_follower.ts";
import type { RecordCodec } from "./records.ts";
import { StateListener } from "./state_listener.ts";
import type { StoreContact } from "./store_contact.ts";

/** Another entry's address for its peers. */
export type Member = { instance: string; host: string; port: number };

/** An entry, and for how many milliseconds more a peer counts it. */
export type KnownMember = Member & { countedFor: number };

/** The configuration's stored text, for peers that can't reach the store. */
export type PublishedText = { revision: number; value: string };

/** Called on every change of what is believed. */
export type StateChanged = (
  what: "configuration" | "servers" | "members",
) => void;

/** See the module. */
export class FleetState {
  readonly directory = new ServerDirectory();
  /** Entries that are registered. */
  readonly members = new Map<string, Member>();
  readonly roll = new MembershipList();
  /** Where entries are that are registered no more, or never were here. */
  readonly #unregistered = new Map<string, Member>();
  readonly #codec: RecordCodec;
  readonly #log: EventLog;
  readonly #clock: () => number;
  readonly #changed: StateChanged;
  #inForce: ActiveConfiguration | undefined;
  #published: PublishedText = { revision: 0, value: "" };
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
      changed: StateChanged;
    },
  ) {
    this.#codec = options.codec;
    this.#log = options.log;
    this.#clock = options.clock;
    this.#changed = options.changed;
    options.contact.listen(this.directory);
    options.contact.listen({
      recordStoreResponse: () => {},
      recordStoreFailure: () => this.#configurationConfirmed = false,
    });
  }

  get inForce(): ActiveConfiguration | undefined {
    return this.#inForce;
  }

  get published(): PublishedText {
    return this.#published;
  }

  /** True while no call to the store has failed since it last told of it. */
  get configurationConfirmed(): boolean {
    return this.#configurationConfirmed;
  }

  /** False until servers were read once, from the store or a peer. */
  get serversKnown(): boolean {
    return this.#serversKnown;
  }

  /** False until the store or a peer has told which entries there are. */
  get membersKnown(): boolean {
    return this.#membersKnown;
  }

  /** True once the member list has been read from the store. */
  get membersReadFromStore(): boolean {
    return this.#membersReadFromStore;
  }

  /**
   * Adopts a newer configuration; older ones and unreadable ones change nothing.
   * False for one that can't be read.
   */
  adopt(value: string, revision: number, from: string): boolean {
    if (revision <= this.#published.revision) return true;
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
    this.#published = { revision, value };
    this.#inForce = new ActiveConfiguration(decoded.value);
    this.#log.write({
      event: "configuration_adopted",
      version: decoded.value.version,
      revision,
      from,
    });
    this.#changed("configuration");
    return true;
  }

  /** Takes over a peer's servers if they are newer than what is known here. */
  adoptServers(
    records: readonly ServerRecord[],
    revision: number,
    from: string,
  ): void {
    if (revision <= this.directory.revision) return;
    this.directory.replace(records, revision, this.#clock());
    this.#serversKnown = true;
    this.#log.write({
      event: "servers_adopted",
      from,
      revision,
      count: records.length,
    });
    this.#changed("servers");
  }

  /** Entries that are not registered and may live on. */
  unregistered(): Map<string, Member> {
    const shares = this.roll.shares(this.#clock());
    for (const name of this.#unregistered.keys()) {
      if (!shares.has(name) || this.members.has(name)) {
        this.#unregistered.delete(name);
      }
    }
    return this.#unregistered;
  }

  /** What a peer is told of the entries that are counted, or `heard`. */
  known(heard: ReadonlySet<string>): KnownMember[] {
    const members = new Map([...this.unregistered(), ...this.members]);
    const times = this.roll.countedFor(this.#clock());
    return [...members].map(([name, member]) => ({
      ...member,
      countedFor: times.get(name) ?? 0,
    })).filter(({ instance, countedFor }) =>
      countedFor > 0 || heard.has(instance)
    );
  }

  /** The part of {@link known} that is not registered in the store. */
  knownUnregistered(heard: ReadonlySet<string>): KnownMember[] {
    return this.known(heard)
      .filter(({ instance }) => !this.members.has(instance));
  }

  /** Takes over what a peer knows of the entries. */
  told(members: readonly KnownMember[]): void {
    const now = this.#clock();
    for (const { countedFor, ...member } of members) {
      if (this.members.has(member.instance)) continue;
      this.roll.mergeFromPeer(member.instance, countedFor, now);
      this.#unregistered.set(member.instance, member);
    }
    this.#membersKnown = true;
    this.#changed("members");
  }

  /** Listens to the configuration's key. */
  configurationListener(): PrefixListener {
    return new StateListener({
      snapshot: (items) => {
        items.forEach((item) => this.#configuration(item));
        this.#configurationConfirmed = true;
      },
      change: (change) => {
        if (change.kind === "written") this.#configuration(change.item);
      },
      advanced: () => this.#configurationConfirmed = true,
    });
  }

  /** Listens to the backend servers' keys. */
  serverListener(): PrefixListener {
    return new StateListener({
      snapshot: (items, asOf) => {
        const records = items.map((item) => this.#server(item))
          .filter((record) => record !== undefined);
        this.directory.replace(records, asOf, this.#clock());
        this.#serversKnown = true;
        this.#changed("servers");
      },
      change: (change) => this.#serverChanged(change),
      advanced: (_asOf, any) => {
        if (any) this.#changed("servers");
      },
    });
  }

  /** Listens to the keys under which entries register. */
  memberListener(
    prefix: string,
    decode: (value: string) => Member | undefined,
  ): PrefixListener {
    const put = (item: StoredItem) => {
      const member = decode(item.value);
      if (member === undefined) return;
      const name = item.key.slice(prefix.length);
      this.members.set(name, member);
      this.roll.markRegistered(name);
    };
    return new StateListener({
      snapshot: (items) => {
        for (const [name, member] of this.members) {
          this.#unregistered.set(name, member);
        }
        this.members.clear();
        items.forEach(put);
        this.roll.replace(this.members.keys(), this.#clock());
        this.#membersKnown = true;
        this.#membersReadFromStore = true;
        this.#changed("members");
      },
      change: (change) => {
        if (change.kind === "written") put(change.item);
        else this.#lapsed(change.key.slice(prefix.length));
      },
      advanced: (_asOf, any) => {
        if (any) this.#changed("members");
      },
    });
  }

  #lapsed(name: string): void {
    const member = this.members.get(name);
    if (member !== undefined) this.#unregistered.set(name, member);
    this.members.delete(name);
    this.roll.markUnregistered(name, this.#clock());
  }

  #configuration(item: StoredItem): void {
    if (item.key !== this.#codec.configurationKey) return;
    this.adopt(item.value, item.revision, "store");
  }

  #server(item: StoredItem): ServerRecord | undefined {
    const id = item.key.slice(this.#codec.serverPrefix.length);
    return this.#codec.decodeServer(id, item.value);
  }

  #serverChanged(change: ItemChange): void {
    const now = this.#clock();
    const key = change.kind === "written" ? change.item.key : change.key;
    const id = key.slice(this.#codec.serverPrefix.length);
    const revision = change.kind === "written"
      ? change.item.revision
      : change.revision;
    this.directory.advance(revision);
    const before = this.directory.find(id);
    if (change.kind === "removed") this.directory.remove(id, now);
    else this.directory.put(id, this.#server(change.item), now);
    const after = this.directory.find(id);
    if (before?.draining === after?.draining && before && after) return;
    this.#log.write({
      event: "server_changed",
      server: id,
      change: after === undefined
        ? "gone"
        : after.draining
        ? "draining"
        : "ready",
      revision,
    });
  }
}

import t from "tap";
import { EventLog } from "../src/mod.ts";
import type { PeerStatus } from "../src/peers/peer_link.ts";
import { PeerEvents, Peers } from "../src/peers/peers.ts";
import type { Address } from "../src/settings.ts";
import type { Member } from "../src/state/fleet_state.ts";
import { waitUntil } from "./fixture.ts";
import { RecordingSink } from "./recording_sink.ts";

/** Milliseconds between ticks, and their number. */
const TICK = 20;
const TICKS = 150;

/** Counts the connections of an entry that grants for itself. */
class CountingEvents extends PeerEvents {
  readonly #instance: string;
  connected = 0;
  lost = 0;

  constructor(instance: string) {
    super();
    this.#instance = instance;
  }

  override onMessage(): void {}

  override onPeerConnected(): void {
    this.connected++;
  }

  override onGroupChanged(): void {}

  override onPeerLost(): void {
    this.lost++;
  }

  override ownStatus(): PeerStatus {
    return {
      configurationRevision: 1,
      configurationConfirmed: true,
      serverRevision: 1,
      leaving: false,
      asks: this.#instance,
      shares: 1,
      processors: 1,
      listed: true,
      leavingServers: [],
      evacuations: [],
      rollouts: [],
    };
  }

  override knowsMembers(): boolean {
    return true;
  }

  override hasJustStarted(): boolean {
    return false;
  }
}

/** An entry that listens, with the members that it finds in the list. */
class Entry {
  readonly events: CountingEvents;
  readonly peers: Peers;
  readonly members = new Map<string, Member>();
  readonly #instance: string;
  port = 0;

  constructor(instance: string, seeds: readonly Address[] = []) {
    this.#instance = instance;
    this.events = new CountingEvents(instance);
    const clock = () => performance.now();
    const log = new EventLog({ instance, sink: new RecordingSink(), clock });
    this.peers = new Peers({
      instance,
      incarnation: instance,
      ownAddress: { host: "127.0.0.1", port: 0 },
      seeds,
      events: this.events,
      log,
      clock,
    });
  }

  async listen(): Promise<this> {
    this.port = await this.peers.listen();
    return this;
  }

  get member(): Member {
    return { instance: this.#instance, host: "127.0.0.1", port: this.port };
  }

  finds(...entries: Entry[]): void {
    for (const { member } of [this, ...entries]) {
      this.members.set(member.instance, member);
    }
  }
}

/** Ticks until `check` holds; returns whether it ever does. */
async function tickUntil(
  entries: readonly Entry[],
  check: () => boolean,
): Promise<boolean> {
  for (let tick = 0; tick < TICKS; tick++) {
    for (const { peers, members } of entries) peers.tick(members, new Map());
    if (check()) return true;
    await new Promise((resolve) => setTimeout(resolve, TICK));
  }
  return false;
}

function areLinked(one: Entry, other: Entry): boolean {
  const { instance } = other.member;
  return one.peers.connectedPeers().includes(instance);
}

t.test("the later entry by name dials one that does not find it in the list", async (t) => {
  // Guards against two groups that each use the quotas of the whole fleet.
  const first = await new Entry("a").listen();
  const second = await new Entry("b").listen();
  first.finds();
  second.finds(first);
  const entries = [first, second];
  t.ok(await tickUntil(entries, () => areLinked(second, first)));
  for (const { peers } of entries) peers.close();
});

t.test("an entry of a group dials a seed that is not in the list", async (t) => {
  // Guards against groups of two or more that never look for others.
  const seed = await new Entry("a").listen();
  const address = { host: "127.0.0.1", port: seed.port };
  const first = await new Entry("b", [address]).listen();
  const second = await new Entry("c").listen();
  first.finds(second);
  second.finds(first);
  const entries = [seed, first, second];
  t.ok(await tickUntil(entries, () => areLinked(first, second)));
  t.ok(await tickUntil(entries, () => areLinked(first, seed)));
  for (const { peers } of entries) peers.close();
});

t.test("a seed that is connected is not dialled again", async (t) => {
  // Guards against links that are replaced again and again.
  const seed = await new Entry("a").listen();
  const address = { host: "127.0.0.1", port: seed.port };
  const first = await new Entry("b", [address]).listen();
  const second = await new Entry("c", [address]).listen();
  const entries = [seed, first, second];
  first.finds(second);
  second.finds(first);
  const allLinked = () =>
    entries.every(({ peers }) => peers.connectedPeers().length === 2);
  t.ok(await tickUntil(entries, allLinked));
  const dials = () =>
    entries.map(({ events }) => events.connected + events.lost);
  const before = dials();
  await tickUntil(entries, () => false);
  t.same(dials(), before);
  for (const { peers } of entries) peers.close();
});

t.test("two entries that find each other keep one link", async (t) => {
  const first = await new Entry("a").listen();
  const second = await new Entry("b").listen();
  const entries = [first, second];
  first.finds(second);
  second.finds(first);
  await tickUntil(entries, () => false);
  t.same(entries.map(({ events }) => events.connected), [1, 1]);
  t.same(entries.map(({ events }) => events.lost), [0, 0]);
  for (const { peers } of entries) peers.close();
  t.ok(await waitUntil(() => first.peers.connectedPeers().length === 0));
});

t.test("an entry does not count a link to itself as a peer", async (t) => {
  // Guards against a group of one that appears to have two members.
  const seed = { host: "localhost", port: 0 };
  const entry = await new Entry("a", [seed]).listen();
  seed.port = entry.port;
  entry.finds();
  const isLinked = () => entry.peers.connectedPeers().length > 0;
  t.notOk(await tickUntil([entry], isLinked));
  entry.peers.close();
});

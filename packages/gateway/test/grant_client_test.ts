import type { GrantRequest, ServerRecord } from "@sycamorepulley/decisions";
import t from "tap";
import * as v from "valibot";
import { EventLog, LineSink } from "../src/mod.ts";
import { GrantClient } from "../src/peers/grant_client.ts";
import type { FleetView } from "../src/peers/grant_client.ts";
import { peerMessageSchema } from "../src/peers/messages.ts";
import { decodeLoad, encodeLoad } from "../src/peers/reported_load_message.ts";
import type { GrantResult } from "../src/peers/pending_grant.ts";
import type { PeerEntry, Peers } from "../src/peers/peers.ts";
import { storedServer } from "./fixture.ts";

class DiscardingSink extends LineSink {
  override push(): boolean {
    return true;
  }
}

/** Grant clients whose messages to each other arrive immediately. */
class PeerNetwork {
  readonly #clients = new Map<string, GrantClient>();

  createClient(instance: string): GrantClient {
    const peers = {
      announceTo: () => {},
      connectedPeers: () => [...this.#clients.keys()],
      acceptsSuspects: () => true,
      send: (
        to: string,
        message: Parameters<GrantClient["handleMessage"]>[1],
      ) => this.#clients.get(to)?.handleMessage(instance, message),
    };
    const clock = () => 0;
    const client = new GrantClient({
      instance,
      incarnation: instance,
      clock,
      log: new EventLog({ instance, sink: new DiscardingSink(), clock }),
      peers: () => peers as unknown as Peers,
      leeway: { window: 8000, overage: 0, slack: 0 },
      drainTime: 2000,
      onSuspectDecision: () => {},
    });
    client.setServers([JSON.parse(storedServer("s", 1)) as ServerRecord]);
    this.#clients.set(instance, client);
    return client;
  }
}

function entry(name: string, processors: number, asks: string): PeerEntry {
  return {
    name,
    processors,
    asks,
    listed: true,
    leaving: false,
    probePending: false,
  };
}

function view(self: PeerEntry, peers: readonly PeerEntry[]): FleetView {
  const names = [self, ...peers].map(({ name }) => name);
  const shares = new Map(names.map((name) => [name, 1]));
  return { self, peers, shares, reportedTotalShares: 0 };
}

const REQUEST: Omit<GrantRequest, "id" | "entry"> = {
  service: "calls",
  organisation: "firm",
  tierRank: 0,
  routeRank: 0,
  cost: { promptTokens: 0, outputTokens: 1 },
  charge: 70,
  dataCentre: "a",
  arrived: 0,
  latencyGoalAt: 500,
  expiresAt: 2000,
  deadline: 2000,
  fingerprint: "print",
  promptParts: [],
  jitter: 0.5,
  excludedServers: [],
};

/** Entry "a", and "x" which is the granting entry of both. */
function pair() {
  const network = new PeerNetwork();
  const asking = network.createClient("a");
  const granting = network.createClient("x");
  const [a, x] = [entry("a", 1, "x"), entry("x", 2, "x")];
  granting.updateGroup(view(x, [a]));
  asking.updateGroup(view(a, [x]));
  return { asking, granting, a, x };
}

/** The same with all slots taken by "a", which waits for one more. */
function full() {
  const entries = pair();
  const { asking, granting } = entries;
  const running = [1, 2, 3, 4].map(() => asking.submit(REQUEST));
  granting.deliverDecisions();
  const { result } = asking.submit(REQUEST);
  return { ...entries, running, result };
}

/** The result if it comes within 50 ms, or "undecided". */
function resultOrUndecided(
  result: Promise<GrantResult>,
): Promise<GrantResult | string> {
  const undecided = new Promise<string>((resolve) =>
    setTimeout(() => resolve("undecided"), 50)
  );
  return Promise.race([result, undecided]);
}

t.test("a running request stays charged when its granting entry changes", async (t) => {
  // Guards against a refund, which would let a second request run in its place.
  const { asking, granting, a, x } = pair();
  const quotas = new Map([["firm", { ratePerSecond: 1000, burst: 1000 }]]);
  granting.setQuotas(quotas);
  const first = asking.submit(REQUEST);
  granting.deliverDecisions();
  t.match(await first.result, { kind: "grant", by: "x" });
  asking.updateGroup(view(a, [x, entry("y", 3, "y")]));
  const second = granting.submit(REQUEST);
  granting.deliverDecisions();
  t.equal(await resultOrUndecided(second.result), "undecided");
});

t.test("an entry still decides the requests it received when it no longer grants", async (t) => {
  // Guards against a dropped request that holds its caller until the deadline.
  const { asking, granting, a, running, result } = full();
  granting.updateGroup(view(entry("x", 2, "y"), [a, entry("y", 3, "y")]));
  for (const { id } of running) asking.recordEnd(id, "answered");
  granting.deliverDecisions();
  t.match(await resultOrUndecided(result), { kind: "grant", by: "x" });
});

t.test("grant requests are repeated over a new link to the granting entry", async (t) => {
  // Guards against grant requests that are lost with a replaced link.
  const { asking, granting, running, result } = full();
  granting.removePeer("a");
  asking.removePeer("x");
  asking.handlePeerConnected("x", { hasJustStarted: false });
  granting.deliverDecisions();
  for (const { id } of running) asking.recordEnd(id, "answered");
  granting.deliverDecisions();
  t.match(await resultOrUndecided(result), { kind: "grant", by: "x" });
});

t.test("the next granting entry receives the limits that servers state", (t) => {
  // Guards against overloading a limited server after a change.
  const { asking, granting } = pair();
  asking.limits.observe("s@1", "2", -10);
  t.match(granting.limits.known.find("s@1"), { perSecond: 2, by: "a" });
  const next = asking;
  granting.limits.observe("t@1", "3", -10);
  t.equal(next.limits.known.find("t@1"), undefined);
  granting.updateGroup(view(entry("x", 2, "a"), [entry("a", 3, "a")]));
  t.match(next.limits.known.find("t@1"), { perSecond: 3, by: "x" });
  t.end();
});

t.test("a server's load reaches the granting entry with the start or the end of a response", async (t) => {
  // Guards against reports that a change of the granting entry cuts off.
  const { asking, granting, x } = pair();
  const load = { running: 3, waiting: 0, slots: 4, pace: 250 };
  const first = asking.submit(REQUEST);
  const second = asking.submit(REQUEST);
  granting.deliverDecisions();
  await Promise.all([first.result, second.result]);
  asking.recordServerLoad(first.id, load);
  t.strictSame(granting.reportedLoads(), []);
  asking.recordResponseStart(first.id, 20);
  t.strictSame(granting.reportedLoads(), [{ server: "s@1", load, age: 0 }]);
  asking.updateGroup(view(entry("a", 3, "a"), [x]));
  t.strictSame(
    asking.reportedLoads(),
    [],
    "a successor starts without reports",
  );
  const later = { ...load, pace: 100 };
  asking.recordServerLoad(second.id, later);
  asking.recordEnd(second.id, "failed");
  t.match(asking.reportedLoads(), [{ server: "s@1", load: later }]);
});

t.test("messages with and without a load are understood, also by an earlier build", (t) => {
  // Guards against a link that ends because one of two versions adds a field.
  const message = { type: "first_answer", id: "1", measured: 20 };
  const read = (load?: unknown) =>
    v.safeParse(peerMessageSchema, { ...message, ...(load ? { load } : {}) });
  t.ok(read().success);
  t.ok(read([5, 3, 0, 4]).success);
  t.ok(read([5, 3, 0, 4, 250, 7]).success, "a later build adds a figure");
  t.notOk(read([5, 3]).success);
  const load = { running: 3, waiting: 0, slots: 4, pace: 250 };
  const encoded = encodeLoad({ load, observedAt: 90 }, 100);
  t.strictSame(decodeLoad(encoded, "a", 205), {
    load,
    observedAt: 195,
    by: "a",
  });
  t.equal(decodeLoad({}, "a", 205), undefined);
  t.end();
});

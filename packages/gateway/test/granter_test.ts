import type { GrantRequest, ServerRecord } from "@sycamorepulley/decisions";
import t from "tap";
import { EventLog, LineSink } from "../src/mod.ts";
import { GrantClient } from "../src/peers/grant_client.ts";
import type { FleetView } from "../src/peers/grant_client.ts";
import type { GrantResult } from "../src/peers/pending_grant.ts";
import type { PeerEntry, Peers } from "../src/peers/peers.ts";
import { storedServer } from "./fixture.ts";

class Unheard extends LineSink {
  override push(): boolean {
    return true;
  }
}

/** Granters that hear each other at once. */
class Wire {
  readonly #granters = new Map<string, GrantClient>();

  granter(instance: string): GrantClient {
    const peers = {
      announceTo: () => {},
      send: (to: string, message: Parameters<GrantClient["received"]>[1]) =>
        this.#granters.get(to)?.received(instance, message),
    };
    const clock = () => 0;
    const granter = new GrantClient({
      instance,
      incarnation: instance,
      clock,
      log: new EventLog({ instance, sink: new Unheard(), clock }),
      peers: () => peers as unknown as Peers,
      leeway: { window: 8000, overage: 0, slack: 0 },
    });
    granter.setServers([JSON.parse(storedServer("s", 1)) as ServerRecord]);
    this.#granters.set(instance, granter);
    return granter;
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
  return { self, peers, shares, stated: 0 };
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
  jitter: 0.5,
  excludedServers: [],
};

/** An entry "a" that asks "x", and "x" which grants. */
function pair() {
  const wire = new Wire();
  const asking = wire.granter("a");
  const granting = wire.granter("x");
  const [a, x] = [entry("a", 1, "x"), entry("x", 2, "x")];
  granting.regroup(view(x, [a]));
  asking.regroup(view(a, [x]));
  return { asking, granting, a, x };
}

/** The same with all places taken by "a", which waits for one more. */
function full() {
  const entries = pair();
  const { asking, granting } = entries;
  const running = [1, 2, 3, 4].map(() => asking.submit(REQUEST));
  granting.pump();
  const { result: answer } = asking.submit(REQUEST);
  return { ...entries, running, answer };
}

/** The answer, if it comes at once. */
function soon(answer: Promise<GrantResult>): Promise<GrantResult | string> {
  const undecided = new Promise<string>((resolve) =>
    setTimeout(() => resolve("undecided"), 50)
  );
  return Promise.race([answer, undecided]);
}

t.test("what runs stays charged when its entry asks another one", async (t) => {
  // Given back, the charge let a second request run in its place.
  const { asking, granting, a, x } = pair();
  const quotas = new Map([["firm", { ratePerSecond: 1000, burst: 1000 }]]);
  granting.setQuotas(quotas);
  const first = asking.submit(REQUEST);
  granting.pump();
  t.match(await first.result, { kind: "grant", by: "x" });
  asking.regroup(view(a, [x, entry("y", 3, "y")]));
  const second = granting.submit(REQUEST);
  granting.pump();
  t.equal(await soon(second.result), "undecided");
});

t.test("an ask is decided by whom it was asked of, whomever that one asks", async (t) => {
  // Dropped without a word, it held its caller until the time was up.
  const { asking, granting, a, running, answer } = full();
  granting.regroup(view(entry("x", 2, "y"), [a, entry("y", 3, "y")]));
  for (const { id } of running) asking.recordEnd(id, "answered");
  granting.pump();
  t.match(await soon(answer), { kind: "grant", by: "x" });
});

t.test("asks go once more over a new link to the entry that grants", async (t) => {
  // A link was replaced, and what had been asked over the old one held its callers.
  const { asking, granting, running, answer } = full();
  granting.lost("a");
  asking.lost("x");
  asking.joined("x");
  granting.pump();
  for (const { id } of running) asking.recordEnd(id, "answered");
  granting.pump();
  t.match(await soon(answer), { kind: "grant", by: "x" });
});

t.test("the next granting entry is told the limits that servers state", (t) => {
  // It sent a server in need as much as one without a limit.
  const { asking, granting } = pair();
  asking.limits.observe("s@1", "2", -10);
  t.match(granting.limits.known.find("s@1"), { perSecond: 2, by: "a" });
  const next = asking;
  granting.limits.observe("t@1", "3", -10);
  t.equal(next.limits.known.find("t@1"), undefined);
  granting.regroup(view(entry("x", 2, "a"), [entry("a", 3, "a")]));
  t.match(next.limits.known.find("t@1"), { perSecond: 3, by: "x" });
  t.end();
});

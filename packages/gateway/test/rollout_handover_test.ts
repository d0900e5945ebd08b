import type { RolloutState } from "@sycamorepulley/decisions";
import t from "tap";
import * as v from "valibot";
import { EventLog, LineSink } from "../src/mod.ts";
import { GrantClient } from "../src/peers/grant_client.ts";
import { peerMessageSchema } from "../src/peers/messages.ts";
import type { PeerMessage } from "../src/peers/messages.ts";
import type { PeerEntry, Peers } from "../src/peers/peers.ts";

class DiscardingSink extends LineSink {
  override push(): boolean {
    return true;
  }
}

const ROLLOUT: RolloutState = {
  order: {
    service: "calls",
    target: "v2",
    duration: 15_000,
    position: { era: 1, revision: 7 },
  },
  orderedAt: 0,
  outcome: "running",
};

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

/** An entry of a group with the roll-out, and what it sends. */
function entryOf(name: string, processors: number, accepts = true) {
  const sent: { to: string; message: PeerMessage }[] = [];
  const time = { now: 0 };
  const clock = () => time.now;
  const peers = {
    announceTo: () => {},
    connectedPeers: () => [],
    acceptsSuspects: () => false,
    acceptsAppointments: () => false,
    acceptsRolloutHandovers: () => accepts,
    send: (to: string, message: PeerMessage) => sent.push({ to, message }),
  };
  const client = new GrantClient({
    instance: name,
    incarnation: name,
    clock,
    log: new EventLog({ instance: name, sink: new DiscardingSink(), clock }),
    peers: () => peers as unknown as Peers,
    leeway: { window: 8000, overage: 0, slack: 0 },
    drainTime: 2000,
    onSuspectDecision: () => {},
  });
  const setPeers = (others: readonly PeerEntry[]) =>
    client.updateGroup({
      self: entry(name, processors, name),
      peers: others,
      shares: new Map([name, ...others.map(({ name }) => name)]
        .map((name) => [name, 1])),
      reportedTotalShares: 0,
    });
  return { client, time, setPeers, sent };
}

const LOWER = [3, 2, 1].map((count) => entry(`p${count}`, count, "a"));

t.test("the next granting entries get what is known of a roll-out", (t) => {
  // Guards against evidence that is lost with the granting entry.
  const first = entryOf("a", 4);
  first.setPeers(LOWER);
  first.client.setRollouts(new Map([["calls", ROLLOUT]]));
  first.time.now = 6000;
  first.client.shareRollouts(LOWER);
  t.same(first.sent.map(({ to }) => to), ["p3", "p2"]);

  const next = entryOf("p3", 3);
  next.setPeers([entry("a", 4, "a")]);
  next.client.setRollouts(new Map([["calls", ROLLOUT]]));
  const message = v.parse(peerMessageSchema, first.sent[0]!.message);
  next.client.handleMessage("a", message);
  next.time.now = 500;
  next.setPeers([entry("b", 5, "b")]);
  t.match(next.sent, [{
    to: "b",
    message: { handover: { target: "v2", observedFor: 6000, age: 500 } },
  }]);
  t.end();
});

t.test("an earlier build gets nothing of roll-outs", (t) => {
  // Guards against a link that an earlier build closes at an unknown message.
  const { client, setPeers, sent } = entryOf("a", 4, false);
  setPeers(LOWER);
  client.setRollouts(new Map([["calls", ROLLOUT]]));
  client.shareRollouts(LOWER);
  t.same(sent, []);
  t.end();
});

import type { GrantRequest } from "@sycamorepulley/decisions";
import t from "tap";
import * as v from "valibot";
import { EventLog, LineSink } from "../src/mod.ts";
import { GrantClient } from "../src/peers/grant_client.ts";
import { encodeRefusal } from "../src/peers/refusal_message.ts";
import { peerMessageSchema } from "../src/peers/messages.ts";
import type { PeerMessage } from "../src/peers/messages.ts";
import type { PeerEntry, Peers } from "../src/peers/peers.ts";

class DiscardingSink extends LineSink {
  override push(): boolean {
    return true;
  }
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
  deadline: 9000,
  fingerprint: "print",
  promptParts: [],
  jitter: 0.5,
  excludedServers: [],
};
const APPOINTMENT = { startsIn: 1500, tolerance: 300, runTime: 40 };

function entry(name: string, processors: number): PeerEntry {
  return {
    name,
    processors,
    asks: name,
    listed: true,
    leaving: false,
    probePending: false,
  };
}

/** An entry "a" with what it sends, and its clock. */
function entryWithMessages(acceptsAppointments = true) {
  const sent: { to: string; message: PeerMessage }[] = [];
  const time = { now: 0 };
  const clock = () => time.now;
  const peers = {
    announceTo: () => {},
    connectedPeers: () => [],
    acceptsSuspects: () => false,
    acceptsAppointments: () => acceptsAppointments,
    send: (to: string, message: PeerMessage) => sent.push({ to, message }),
  };
  const client = new GrantClient({
    instance: "a",
    incarnation: "a",
    clock,
    log: new EventLog({ instance: "a", sink: new DiscardingSink(), clock }),
    peers: () => peers as unknown as Peers,
    leeway: { window: 8000, overage: 0, slack: 0 },
    drainTime: 2000,
    onSuspectDecision: () => {},
  });
  const changeTo = (granting: string) =>
    client.updateGroup({
      self: entry("a", 1),
      peers: [entry(granting, 2)],
      shares: new Map([["a", 1], [granting, 1]]),
      reportedTotalShares: 0,
    });
  const reports = () =>
    sent.filter(({ message }) => message.type === "appointments");
  return { client, time, changeTo, reports };
}

async function refuseWithAppointment(client: GrantClient) {
  const { id, result } = client.submit(REQUEST);
  const message = {
    type: "refuse",
    id,
    reason: "overload",
    retryAfter: 1500,
    appointment: APPOINTMENT,
  };
  client.handleMessage("x", v.parse(peerMessageSchema, message));
  return await result;
}

t.test("an entry reports its callers' appointments to the next granting entry", async (t) => {
  // Guards against promises that are lost with the entry that gave them.
  const { client, time, changeTo, reports } = entryWithMessages();
  changeTo("x");
  const refusal = await refuseWithAppointment(client);
  t.match(refusal, { inputs: { appointment: { at: 1500, runTime: 40 } } });
  time.now = 1000;
  changeTo("y");
  const [report] = reports();
  t.equal(report?.to, "y");
  t.same(v.parse(peerMessageSchema, report?.message), {
    type: "appointments",
    appointments: [{
      service: "calls",
      fingerprint: "print",
      organisation: "firm",
      startsIn: 500,
      tolerance: 300,
      runTime: 40,
    }],
  });
  client.handlePeerConnected("y", { hasJustStarted: false });
  t.equal(reports().length, 2, "repeated over a new link");
});

t.test("a lapsed appointment is not reported, nor any to an earlier build", async (t) => {
  // Guards against a link that an earlier build closes at an unknown message.
  const { client, time, changeTo, reports } = entryWithMessages();
  changeTo("x");
  await refuseWithAppointment(client);
  time.now = 1801;
  changeTo("y");
  t.same(reports(), []);
  const earlier = entryWithMessages(false);
  earlier.changeTo("x");
  await refuseWithAppointment(earlier.client);
  earlier.changeTo("y");
  t.same(earlier.reports(), []);
});

t.test("a refusal keeps values that earlier builds understand", (t) => {
  // Guards against a reason or a standing that an earlier build rejects.
  const message = encodeRefusal(
    {
      kind: "refuse",
      request: { ...REQUEST, id: "1", entry: "a" },
      reason: "no_capacity",
      retryAfter: 3000,
      inputs: { free: 0, waiting: 9, quotaWait: 0, standing: "appointed" },
    },
    0,
    { acceptsSuspects: true },
  );
  t.match(v.parse(peerMessageSchema, message), {
    reason: "overload",
    standing: "returned",
    hasNoCapacity: true,
    isAppointed: true,
  });
  t.end();
});

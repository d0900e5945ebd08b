import t from "tap";
import { parseServerLimit } from "@sycamorepulley/decisions";
import { SharedServerLimits } from "../src/peers/shared_server_limits.ts";
import type { PeerMessage } from "../src/peers/messages.ts";
import { EventLog } from "../src/mod.ts";
import { RecordingSink } from "./recording_sink.ts";

/** The limits known to one entry, with what it logged and sent. */
function limitsOf(instance = "entry-1") {
  let now = 1000;
  const clock = () => now;
  const sink = new RecordingSink();
  const sent: PeerMessage[] = [];
  const limits = new SharedServerLimits({
    instance,
    clock,
    log: new EventLog({ instance, sink, clock }),
    send: (message) => sent.push(message),
  });
  const logged = () => sink.events.map(({ message }) => message);
  return { limits, sent, logged, sink, setClock: (time: number) => now = time };
}

t.test("a malformed limit is logged and changes nothing", (t) => {
  const malformed = ["", "-1", "NaN", "1e3", "2,5", "0x10", "Infinity", "1 2"];
  for (const value of malformed) {
    t.ok(parseServerLimit(value).isErr, value);
  }
  t.ok(parseServerLimit(["1", "2"]).isErr);
  const { limits, sent, logged, sink } = limitsOf();
  limits.observe("s@1", "2.5", 900);
  limits.observe("s@1", "fast", 1500);
  t.equal(limits.known.find("s@1")?.perSecond, 2.5);
  t.same(logged(), ["server_limited", "server_limit_unreadable"]);
  t.match(sink.events.at(-1)?.context, { server: "s@1", value: "fast" });
  t.equal(sent.length, 1);
  t.end();
});

t.test("a limit is parsed with and without a fraction", (t) => {
  t.equal(parseServerLimit("2.4").unwrapOr(undefined), 2.4);
  t.equal(parseServerLimit(" 0 ").unwrapOr(undefined), 0);
  t.equal(parseServerLimit(undefined).unwrapOr(1), undefined);
  t.end();
});

t.test("each limit and its end are sent to the granting entry", (t) => {
  const { limits, sent, setClock } = limitsOf();
  limits.observe("s@1", "2", 900);
  setClock(1200);
  limits.observe("s@1", "2", 1100);
  setClock(1500);
  limits.observe("s@1", undefined, 1150);
  limits.observe("s@1", undefined, 1400);
  limits.observe("s@1", undefined, 1450);
  t.match(sent, [
    {
      type: "server_limit",
      observation: { perSecond: 2, by: "entry-1", age: 0 },
    },
    {
      type: "server_limit",
      observation: { perSecond: 2, by: "entry-1", age: 0 },
    },
    { type: "server_limit", observation: { by: "entry-1", age: 100 } },
  ]);
  t.equal(limits.known.find("s@1"), undefined);
  t.end();
});

t.test("a limit that is passed on keeps its source and its age", (t) => {
  const first = limitsOf("entry-1");
  const second = limitsOf("entry-2");
  first.limits.observe("s@1", "2", 900);
  first.setClock(1300);
  second.limits.mergeFromPeer("s@1", first.limits.forGrant("s@1")!);
  t.match(second.limits.known.find("s@1"), { by: "entry-1", observedAt: 700 });
  second.limits.sendAll();
  t.match(second.sent, [{
    observation: { perSecond: 2, by: "entry-1", age: 300 },
  }]);
  t.end();
});

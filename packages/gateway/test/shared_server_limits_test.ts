import t from "tap";
import { parseServerLimit } from "@sycamorepulley/decisions";
import { SharedServerLimits } from "../src/peers/shared_server_limits.ts";
import type { PeerMessage } from "../src/peers/messages.ts";
import { EventLog } from "../src/mod.ts";
import { RecordingSink } from "./recording_sink.ts";

/** The limits that one entry knows, with what it logged and told. */
function limitsOf(instance = "entry-1") {
  let now = 1000;
  const clock = () => now;
  const sink = new RecordingSink();
  const told: PeerMessage[] = [];
  const kept = new SharedServerLimits({
    instance,
    clock,
    log: new EventLog({ instance, sink, clock }),
    send: (message) => told.push(message),
  });
  const logged = () => sink.events.map(({ message }) => message);
  return { kept, told, logged, sink, at: (time: number) => now = time };
}

t.test("a malformed limit is logged and changes nothing", (t) => {
  const malformed = ["", "-1", "NaN", "1e3", "2,5", "0x10", "Infinity", "1 2"];
  for (const value of malformed) {
    t.ok(parseServerLimit(value).isErr, value);
  }
  t.ok(parseServerLimit(["1", "2"]).isErr);
  const { kept, told, logged, sink } = limitsOf();
  kept.observe("s@1", "2.5", 900);
  kept.observe("s@1", "fast", 1500);
  t.equal(kept.known.find("s@1")?.perSecond, 2.5);
  t.same(logged(), ["server_limited", "server_limit_unreadable"]);
  t.match(sink.events.at(-1)?.context, { server: "s@1", value: "fast" });
  t.equal(told.length, 1);
  t.end();
});

t.test("a limit is read with and without a fraction", (t) => {
  t.equal(parseServerLimit("2.4").unwrapOr(undefined), 2.4);
  t.equal(parseServerLimit(" 0 ").unwrapOr(undefined), 0);
  t.equal(parseServerLimit(undefined).unwrapOr(1), undefined);
  t.end();
});

t.test("the granting entry is told of each limit and of its end", (t) => {
  const { kept, told, at } = limitsOf();
  kept.observe("s@1", "2", 900);
  at(1200);
  kept.observe("s@1", "2", 1100);
  at(1500);
  kept.observe("s@1", undefined, 1150);
  kept.observe("s@1", undefined, 1400);
  kept.observe("s@1", undefined, 1450);
  t.match(told, [
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
  t.equal(kept.known.find("s@1"), undefined);
  t.end();
});

t.test("a limit that is passed on keeps its source and its age", (t) => {
  const first = limitsOf("entry-1");
  const second = limitsOf("entry-2");
  first.kept.observe("s@1", "2", 900);
  first.at(1300);
  second.kept.told("s@1", first.kept.inGrant("s@1")!);
  t.match(second.kept.known.find("s@1"), { by: "entry-1", observedAt: 700 });
  second.kept.tellAll();
  t.match(second.told, [{
    observation: { perSecond: 2, by: "entry-1", age: 300 },
  }]);
  t.end();
});

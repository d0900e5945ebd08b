import { markedText } from "@sycamorepulley/emulator";
import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  checkShedOrder,
} from "../src/mod.ts";
import type { CallOutcome, CallRecord, RunRecord } from "../src/mod.ts";

function call(
  marker: string,
  outcome: CallOutcome,
  members: Partial<CallRecord> = {},
): CallRecord {
  return {
    marker,
    service: "assistant",
    sentAt: 0,
    endedAt: 100,
    outcome,
    ...members,
  };
}

function run(marker: string, startedAt = 50): RunRecord {
  return { server: "engine-1", marker, startedAt, outcome: "finished" };
}

function answered(text: string, ended = true): CallOutcome {
  return { type: "answered", status: 200, text, ended };
}

function refused(reason: string, ran: "no" | "unknown" = "no"): CallOutcome {
  return { type: "refused", status: 503, reason, ran };
}

t.test("whole answers pass, crossed and cut ones are found", (t) => {
  const good = call("a", answered(markedText("a", 5)));
  const broken = call("b", { type: "broken", detail: "reset", text: "b:1/5 " });
  t.same(checkCompleteResponses([good, broken]), []);
  const crossed = call("c", answered(markedText("a", 5)));
  const cut = call("d", answered("d:1/5 d:2/5 "));
  const mixed = call("e", answered("e:1/2 a:2/2 "));
  const unended = call("f", answered(markedText("f", 5), false));
  const found = checkCompleteResponses([crossed, cut, mixed, unended]);
  t.same(found.map(({ marker }) => marker), ["c", "d", "e", "f"]);
  t.end();
});

t.test("a second dispatch is found", (t) => {
  t.same(checkDispatchedOnce([run("a"), run("b")]), []);
  const found = checkDispatchedOnce([run("a"), run("b"), run("a")]);
  t.match(found, [{ marker: "a", detail: /started 2 times/ }]);
  t.end();
});

t.test("a false not-run is found", (t) => {
  const honest = call("a", refused("queue_full"));
  const unsure = call("b", refused("answer_cut", "unknown"));
  t.same(checkNotRunRefusals([honest, unsure], [run("b")]), []);
  t.match(checkNotRunRefusals([honest, unsure], [run("a")]), [{ marker: "a" }]);
  t.end();
});

t.test("a resend that ran makes its refused first try no lie", (t) => {
  const first = call("a", refused("queue_full"));
  const second = call("a", answered(markedText("a", 5)));
  t.same(checkNotRunRefusals([first, second], [run("a")]), []);
  t.end();
});

t.test("shedding a high tier beside a waiting lower one is found", (t) => {
  const shed = call("high", refused("queue_full"), {
    tierRank: 0,
    sentAt: 40,
    endedAt: 60,
  });
  const low = call("low", answered(""), { tierRank: 2, endedAt: 200 });
  t.match(checkShedOrder([shed, low], [run("low", 120)]), [{ marker: "high" }]);
  t.same(checkShedOrder([shed, low], [run("low", 50)]), []);
  const otherService = { ...low, service: "orders" };
  t.same(checkShedOrder([shed, otherService], [run("low", 120)]), []);
  t.same(checkShedOrder([{ ...shed, tierRank: 2 }, low], []), []);
  t.end();
});

t.test("a refusal for the deadline sheds nothing", (t) => {
  const late = call("high", refused("deadline"), { sentAt: 40, endedAt: 60 });
  const low = call("low", answered(""), { tierRank: 2, endedAt: 200 });
  t.same(checkShedOrder([late, low], [run("low", 120)]), []);
  t.end();
});

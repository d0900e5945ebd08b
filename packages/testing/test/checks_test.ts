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

t.test("complete responses pass; swapped and truncated ones are found", (t) => {
  const good = call("a", answered(markedText("a", 5)));
  const broken = call("b", { type: "broken", detail: "reset", text: "b:1/5 " });
  t.same(checkCompleteResponses([good, broken]), []);
  const swapped = call("c", answered(markedText("a", 5)));
  const truncated = call("d", answered("d:1/5 d:2/5 "));
  const mixed = call("e", answered("e:1/2 a:2/2 "));
  const withoutEndMarker = call("f", answered(markedText("f", 5), false));
  const found = checkCompleteResponses([
    swapped,
    truncated,
    mixed,
    withoutEndMarker,
  ]);
  t.same(found.map(({ marker }) => marker), ["c", "d", "e", "f"]);
  t.end();
});

t.test("a request that was dispatched twice is found", (t) => {
  t.same(checkDispatchedOnce([run("a"), run("b")]), []);
  const found = checkDispatchedOnce([run("a"), run("b"), run("a")]);
  t.match(found, [{ marker: "a", detail: /started 2 times/ }]);
  t.end();
});

t.test("a request that ran although it was refused as not run is found", (t) => {
  const refusedAsNotRun = call("a", refused("queue_full"));
  const refusedAsUnknown = call("b", refused("answer_cut", "unknown"));
  t.same(
    checkNotRunRefusals([refusedAsNotRun, refusedAsUnknown], [run("b")]),
    [],
  );
  t.match(
    checkNotRunRefusals([refusedAsNotRun, refusedAsUnknown], [run("a")]),
    [{ marker: "a" }],
  );
  t.end();
});

t.test("a refused call passes if a retry with the same marker ran", (t) => {
  const first = call("a", refused("queue_full"));
  const second = call("a", answered(markedText("a", 5)));
  t.same(checkNotRunRefusals([first, second], [run("a")]), []);
  t.end();
});

t.test("a call shed while one of a lower tier waits is found", (t) => {
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

t.test("a refusal because of the deadline does not count as shedding", (t) => {
  const late = call("high", refused("deadline"), { sentAt: 40, endedAt: 60 });
  const low = call("low", answered(""), { tierRank: 2, endedAt: 200 });
  t.same(checkShedOrder([late, low], [run("low", 120)]), []);
  t.end();
});

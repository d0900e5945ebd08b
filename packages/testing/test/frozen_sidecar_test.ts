import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  Fleet,
  waitFor,
} from "../src/mod.ts";

const CALLS = 24;
/** Concurrent requests of one server; no more are handed over to it. */
const MAX_SEQUENCES = 4;

// A frozen sidecar keeps its links open. Guards against requests that wait
// until their deadline, run twice, or have run but are refused as not run.
t.test("requests that wait at a frozen sidecar are placed at another one", async (t) => {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [5, 5].map((stepTime) => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime, maxSequences: MAX_SEQUENCES },
    })),
  });
  t.teardown(() => fleet.kill());
  const frozen = fleet.backends[0]!;
  const caller = fleet.caller();
  const outcomes = Array.from({ length: CALLS }, (_, index) =>
    caller.chat({
      marker: `call-${index}`,
      service: "assistant",
      outputTokens: 60,
      deadline: 100_000,
    }));
  await waitFor("requests to run at the first server", async () => {
    const records = await frozen.server.records();
    return records.length > 0;
  });
  frozen.sidecar.process.sendSignal("SIGSTOP");
  await Promise.all(outcomes);
  frozen.sidecar.process.sendSignal("SIGCONT");
  await frozen.sidecar.waitUntilReady();
  const runs = await fleet.runs();
  const unanswered = caller.calls
    .filter(({ outcome }) => outcome.type !== "answered");
  // Only handed-over requests may be refused; waiting ones are placed anew.
  const handedOver = { type: "refused", reason: "link_lost", ran: "unknown" };
  for (const { outcome } of unanswered) t.match(outcome, handedOver);
  t.ok(unanswered.length <= MAX_SEQUENCES, `${unanswered.length} unanswered`);
  t.same(checkCompleteResponses(caller.calls), []);
  t.same(checkDispatchedOnce(runs), []);
  t.same(checkNotRunRefusals(caller.calls, runs), []);
});

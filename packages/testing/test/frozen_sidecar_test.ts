import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  Fleet,
  waitFor,
} from "../src/mod.ts";

const CALLS = 24;
/** Requests that one server runs at once: no more are handed over to it. */
const PLACES = 4;

t.test("a frozen sidecar's waiting requests go elsewhere", async (t) => {
  // A sidecar is stopped by a signal: its connections stay open and nothing
  // comes. What waits there must be placed elsewhere long before its deadline;
  // what was handed over to it is lost, and nobody may say that it did not run:
  // the sidecar may have stopped before or after it sent the request on. When it
  // wakes up it must not run what went elsewhere meanwhile.
  const fleet = await Fleet.start({
    entries: 1,
    backends: [5, 5].map((stepTime) => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime, maxSequences: PLACES },
    })),
  });
  t.teardown(() => fleet.kill());
  const frozen = fleet.backends[0]!;
  const caller = fleet.caller();
  const answers = Array.from({ length: CALLS }, (_, index) =>
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
  await Promise.all(answers);
  frozen.sidecar.process.sendSignal("SIGCONT");
  await frozen.sidecar.waitUntilReady();
  const runs = await fleet.runs();
  const unanswered = caller.calls
    .filter(({ outcome }) => outcome.type !== "answered");
  // Only a request that was handed over ends so; one that waits is placed anew.
  const handedOver = { type: "refused", reason: "link_lost", ran: "unknown" };
  for (const { outcome } of unanswered) t.match(outcome, handedOver);
  t.ok(unanswered.length <= PLACES, `${unanswered.length} unanswered`);
  t.same(checkCompleteResponses(caller.calls), []);
  t.same(checkDispatchedOnce(runs), []);
  t.same(checkNotRunRefusals(caller.calls, runs), []);
});

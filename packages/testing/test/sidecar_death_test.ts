// Guards against the loss of requests whose bodies the entry still has, and
// against refusing those that ran at the killed sidecar as not run.
import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  Fleet,
  waitFor,
} from "../src/mod.ts";

const CALLS = 40;
const MAX_SEQUENCES = 4;
/** Milliseconds; so slow that no request ends during the test. */
const BLOCKING_STEP_TIME = 100_000;

t.test("requests that wait at a killed sidecar are placed at another one", async (t) => {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [BLOCKING_STEP_TIME, 20].map((stepTime) => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime, maxSequences: MAX_SEQUENCES },
    })),
  });
  t.teardown(() => fleet.kill());
  const caller = fleet.caller();
  const outcomes = Array.from({ length: CALLS }, (_, index) =>
    caller.chat({
      marker: `call-${index}`,
      service: "assistant",
      outputTokens: 20,
    }));
  const killed = fleet.backends[0]!;
  await waitFor(
    "requests to run and to wait at the first sidecar",
    async () => {
      const metrics = await killed.sidecar.metrics();
      const running = metrics.get(
        'sycamorepulley_running{service="assistant"}',
      );
      const waiting = metrics.get(
        'sycamorepulley_waiting{service="assistant"}',
      );
      const started = (await killed.server.records()).length;
      return waiting !== undefined && running === started;
    },
  );
  await killed.sidecar.process.kill();
  await Promise.all(outcomes);
  const runs = await fleet.runs();
  const lostMarkers = runs.filter(({ server }) => server === killed.name)
    .map(({ marker }) => marker);
  t.ok(lostMarkers.length > 0);
  const unanswered = caller.calls
    .filter(({ outcome }) => outcome.type !== "answered");
  t.same(unanswered.map(({ marker }) => marker).sort(), lostMarkers.sort());
  t.match(unanswered, unanswered.map(() => ({ outcome: { ran: "unknown" } })));
  t.same(checkCompleteResponses(caller.calls), []);
  t.same(checkDispatchedOnce(runs), []);
  t.same(checkNotRunRefusals(caller.calls, runs), []);
});

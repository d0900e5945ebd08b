// A sidecar is killed while requests wait in its queue and some run on its
// server. Callers of the waiting ones must not notice: the entry still holds
// their bodies and places them at the other sidecar. Callers of the running
// ones get an error that does not claim that nothing ran.
import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  Fleet,
  waitFor,
} from "../src/mod.ts";

const CALLS = 40;
const SEQUENCES = 4;
/** So slow that nothing ends while the test looks. */
const STANDSTILL = 100_000;

t.test("waiting requests are placed elsewhere", async (t) => {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [STANDSTILL, 20].map((stepTime) => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime, maxSequences: SEQUENCES },
    })),
  });
  t.teardown(() => fleet.kill());
  const caller = fleet.caller();
  const answers = Array.from({ length: CALLS }, (_, index) =>
    caller.chat({
      marker: `call-${index}`,
      service: "assistant",
      outputTokens: 20,
    }));
  const dying = fleet.backends[0]!;
  await waitFor(
    "requests to run and to wait at the first sidecar",
    async () => {
      const metrics = await dying.sidecar.metrics();
      const running = metrics.get(
        'sycamorepulley_running{service="assistant"}',
      );
      const waiting = metrics.get(
        'sycamorepulley_waiting{service="assistant"}',
      );
      const started = (await dying.server.records()).length;
      return waiting !== undefined && running === started;
    },
  );
  await dying.sidecar.process.kill();
  await Promise.all(answers);
  const runs = await fleet.runs();
  const lost = runs.filter(({ server }) => server === dying.name)
    .map(({ marker }) => marker);
  t.ok(lost.length > 0);
  const unanswered = caller.calls
    .filter(({ outcome }) => outcome.type !== "answered");
  t.same(unanswered.map(({ marker }) => marker).sort(), lost.sort());
  t.match(unanswered, unanswered.map(() => ({ outcome: { ran: "unknown" } })));
  t.same(checkCompleteResponses(caller.calls), []);
  t.same(checkDispatchedOnce(runs), []);
  t.same(checkNotRunRefusals(caller.calls, runs), []);
});

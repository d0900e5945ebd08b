// Guards against a crash that cuts a response unseen or fails other requests.
import t from "tap";
import type { Test } from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  Fleet,
  waitFor,
} from "../src/mod.ts";
import type { FleetOptions, RunRecord } from "../src/mod.ts";

const FLEET: FleetOptions = {
  entries: 1,
  backends: [1, 2].map(() => ({
    kind: "model",
    service: "assistant",
    version: "assistant-1",
    options: { stepTime: 10 },
  })),
};

/** Kills the server during a response, which is streamed or not. */
async function crashDuringResponse(t: Test, stream: boolean) {
  const fleet = await Fleet.start(FLEET);
  t.teardown(() => fleet.kill());
  const caller = fleet.caller();
  let started = !stream;
  const outcomePromise = caller.chat({
    onFirstBytes: () => started = true,
    marker: "fatal",
    service: "assistant",
    stream,
    outputTokens: 300,
  });
  const run: RunRecord = await waitFor("the request to run", async () => {
    const runs = await fleet.runs();
    return started && runs.find(({ marker }) => marker === "fatal");
  });
  const backend = fleet.backends.find(({ name }) => name === run.server)!;
  await backend.server.process.kill();
  const outcome = await outcomePromise;
  const markers = Array.from({ length: 6 }, (_, index) => `after-${index}`);
  const after = await Promise.all(
    markers.map((marker) => caller.chat({ marker, service: "assistant" })),
  );
  const runs = [run, ...await fleet.runs()];
  const violations = [
    ...checkCompleteResponses(caller.calls),
    ...checkDispatchedOnce(runs),
    ...checkNotRunRefusals(caller.calls, runs),
  ];
  return { outcome, after, violations };
}

t.test("a stream that is cut by a crash ends with an error", async (t) => {
  const { outcome, after, violations } = await crashDuringResponse(t, true);
  t.equal(outcome.type, "broken");
  t.same(after.filter(({ type }) => type !== "answered"), []);
  t.same(violations, []);
});

t.test('a cut response that is not streamed becomes a refusal that does not say "not run"', async (t) => {
  const { outcome, after, violations } = await crashDuringResponse(t, false);
  t.match(outcome, { type: "refused", reason: "answer_cut" });
  t.not(outcome.type === "refused" && outcome.ran, "no");
  t.same(after.filter(({ type }) => type !== "answered"), []);
  t.same(violations, []);
});

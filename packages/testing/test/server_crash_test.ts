// An engine dies while it answers. A caller that got the first half of a quote
// must not take it for the whole, and must not read that nothing ran; its
// neighbours' requests go to the engines that are left.
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

/** Kills the server in the midst of a streamed, or of a plain, answer. */
async function crash(t: Test, stream: boolean) {
  const fleet = await Fleet.start(FLEET);
  t.teardown(() => fleet.kill());
  const caller = fleet.caller();
  let begun = !stream;
  const answer = caller.chat({
    onFirstBytes: () => begun = true,
    marker: "fatal",
    service: "assistant",
    stream,
    outputTokens: 300,
  });
  const run: RunRecord = await waitFor("the request to run", async () => {
    const runs = await fleet.runs();
    return begun && runs.find(({ marker }) => marker === "fatal");
  });
  const pair = fleet.backends.find(({ name }) => name === run.server)!;
  await pair.server.process.kill();
  const outcome = await answer;
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

t.test("a stream is cut as an error", async (t) => {
  const { outcome, after, violations } = await crash(t, true);
  t.equal(outcome.type, "broken");
  t.same(after.filter(({ type }) => type !== "answered"), []);
  t.same(violations, []);
});

t.test("a plain answer becomes a refusal that claims no rest", async (t) => {
  const { outcome, after, violations } = await crash(t, false);
  t.match(outcome, { type: "refused", reason: "answer_cut" });
  t.not(outcome.type === "refused" && outcome.ran, "no");
  t.same(after.filter(({ type }) => type !== "answered"), []);
  t.same(violations, []);
});

// Guards against a stopped process cutting its streams or never exiting.
import t from "tap";
import { checkCompleteResponses, Fleet, waitFor } from "../src/mod.ts";
import type { FleetOptions } from "../src/mod.ts";

const FLEET: FleetOptions = {
  entries: 2,
  backends: [1, 2].map(() => ({
    kind: "model",
    service: "assistant",
    version: "assistant-1",
    options: { stepTime: 10, speed: 1 },
  })),
};
const LONG_RESPONSE_TOKENS = 100;

function serverOf(fleet: Fleet, marker: string) {
  return waitFor(`${marker} to run`, async () => {
    const runs = await fleet.runs();
    return runs.find((run) => run.marker === marker)?.server;
  });
}

t.test("an entry that is stopped finishes its streams, then exits", async (t) => {
  const fleet = await Fleet.start(FLEET);
  t.teardown(() => fleet.kill());
  const caller = fleet.caller(fleet.entries[0]);
  const streams = Promise.all(
    ["a", "b", "c"].map((marker) =>
      caller.chat({
        marker,
        service: "assistant",
        stream: true,
        outputTokens: LONG_RESPONSE_TOKENS,
      })
    ),
  );
  await Promise.all(["a", "b", "c"].map((marker) => serverOf(fleet, marker)));
  const exit = fleet.entries[0]!.process.stop();
  const outcomes = await streams;
  t.match(outcomes, outcomes.map(() => ({ type: "answered", ended: true })));
  t.same(checkCompleteResponses(caller.calls), []);
  t.equal((await exit).code, 0);
  const otherCaller = fleet.caller(fleet.entries[1]);
  const after = await otherCaller.chat({
    marker: "after",
    service: "assistant",
  });
  t.equal(after.type, "answered");
});

t.test("a sidecar that is stopped finishes its streams and gets no further requests", async (t) => {
  const fleet = await Fleet.start(FLEET);
  t.teardown(() => fleet.kill());
  const caller = fleet.caller(fleet.entries[0]);
  const stream = caller.chat({
    marker: "long",
    service: "assistant",
    stream: true,
    outputTokens: LONG_RESPONSE_TOKENS,
  });
  const server = await serverOf(fleet, "long");
  const draining = fleet.backends.find(({ name }) => name === server)!;
  const exit = draining.sidecar.process.stop();
  await waitFor(
    "the sidecar to announce that it is draining",
    () => draining.sidecar.process.output.includes("leaving"),
  );
  const later = await Promise.all(
    Array.from(
      { length: 8 },
      (_, index) =>
        caller.chat({ marker: `later-${index}`, service: "assistant" }),
    ),
  );
  t.same(later.filter(({ type }) => type !== "answered"), []);
  t.match(await stream, { type: "answered", ended: true });
  t.equal((await exit).code, 0);
  t.same(checkCompleteResponses(caller.calls), []);
  const runs = await fleet.runs();
  const runsAfterDrain = runs.filter((run) =>
    run.server === server && run.marker?.startsWith("later")
  );
  t.same(runsAfterDrain, []);
});

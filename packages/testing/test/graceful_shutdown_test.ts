// An operator replaces an instance while callers read streamed answers. If the
// process ends at the signal, each stream stops in mid-sentence; if it goes on
// taking requests, it never ends.
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
const LONG_ANSWER = 100;

function serverOf(fleet: Fleet, marker: string) {
  return waitFor(`${marker} to run`, async () => {
    const runs = await fleet.runs();
    return runs.find((run) => run.marker === marker)?.server;
  });
}

t.test("an entry finishes its streams, then ends", async (t) => {
  const fleet = await Fleet.start(FLEET);
  t.teardown(() => fleet.kill());
  const caller = fleet.caller(fleet.entries[0]);
  const streams = Promise.all(
    ["a", "b", "c"].map((marker) =>
      caller.chat({
        marker,
        service: "assistant",
        stream: true,
        outputTokens: LONG_ANSWER,
      })
    ),
  );
  await Promise.all(["a", "b", "c"].map((marker) => serverOf(fleet, marker)));
  const end = fleet.entries[0]!.process.stop();
  const outcomes = await streams;
  t.match(outcomes, outcomes.map(() => ({ type: "answered", ended: true })));
  t.same(checkCompleteResponses(caller.calls), []);
  t.equal((await end).code, 0);
  const other = fleet.caller(fleet.entries[1]);
  const after = await other.chat({ marker: "after", service: "assistant" });
  t.equal(after.type, "answered");
});

t.test("a sidecar finishes its streams and takes no more", async (t) => {
  const fleet = await Fleet.start(FLEET);
  t.teardown(() => fleet.kill());
  const caller = fleet.caller(fleet.entries[0]);
  const stream = caller.chat({
    marker: "long",
    service: "assistant",
    stream: true,
    outputTokens: LONG_ANSWER,
  });
  const server = await serverOf(fleet, "long");
  const leaving = fleet.backends.find(({ name }) => name === server)!;
  const end = leaving.sidecar.process.stop();
  await waitFor(
    "the sidecar to take its leave",
    () => leaving.sidecar.process.output.includes("leaving"),
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
  t.equal((await end).code, 0);
  t.same(checkCompleteResponses(caller.calls), []);
  const runs = await fleet.runs();
  const taken = runs.filter((run) =>
    run.server === server && run.marker?.startsWith("later")
  );
  t.same(taken, []);
});

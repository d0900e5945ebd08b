// Guards against urgent requests refused because lower tiers fill every queue.
import { setTimeout } from "node:timers/promises";
import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  checkShedOrder,
  exampleObjects,
  Fleet,
  waitFor,
} from "../src/mod.ts";

const QUEUE = 10;
const LOW_CALLS = 60;
const HIGH_CALLS = 12;
/** Milliseconds; tolerance for messages in transit on a busy machine. */
const SLACK = 250;

function objectsWithShortQueues() {
  const objects = exampleObjects();
  objects.services[0]!.bounds = {
    ...objects.services[0]!.bounds,
    waitingAtSidecar: QUEUE,
    waitingAtEntry: 2 * QUEUE,
  };
  return objects;
}

t.test("a full fleet sheds its lowest tier", async (t) => {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [1, 2].map(() => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime: 10, maxSequences: 4 },
    })),
    objects: objectsWithShortQueues(),
  });
  t.teardown(() => fleet.kill());
  const caller = fleet.caller();
  const send = (tier: string, tierRank: number, count: number) =>
    Array.from({ length: count }, (_, index) =>
      caller.chat({
        marker: `${tier}-${index}`,
        service: "assistant",
        tier,
        tierRank,
        outputTokens: 30,
      }));
  const low = send("batch", 2, LOW_CALLS);
  await waitFor(
    "the queues to be full",
    () => caller.calls.some(({ outcome }) => outcome.type === "refused"),
  );
  await setTimeout(SLACK);
  const high = await Promise.all(send("urgent", 0, HIGH_CALLS));
  await Promise.all(low);
  const runs = await fleet.runs();
  t.same(high.filter(({ type }) => type !== "answered"), []);
  t.ok(caller.calls.some(({ outcome }) => outcome.type === "refused"));
  t.same(checkShedOrder(caller.calls, runs, { slack: SLACK }), []);
  t.same(checkCompleteResponses(caller.calls), []);
  t.same(checkDispatchedOnce(runs), []);
  t.same(checkNotRunRefusals(caller.calls, runs), []);
});

import { setTimeout } from "node:timers/promises";
import t from "tap";
import { exampleObjects, Fleet, publishObjects } from "../src/mod.ts";

const EVACUATED = "ljubljana-2";
/** Milliseconds within which a published configuration is in force. */
const APPLY_TIME = 5000;
const CALLS = 20;

function chat(number: number) {
  return {
    marker: `m-${number}`,
    service: "assistant",
    tier: "urgent",
    tierRank: 0,
    outputTokens: 4,
  };
}

t.test("entries send nothing to the servers of an evacuated data centre", async (t) => {
  const backend = {
    kind: "model" as const,
    service: "assistant",
    version: "assistant-1",
    options: { stepTime: 20 },
  };
  const fleet = await Fleet.start({
    entries: 2,
    backends: [backend, { ...backend, dataCentre: EVACUATED }],
  });
  t.teardown(() => fleet.kill());
  const callers = fleet.entries.map((entry) => fleet.caller(entry));
  let number = 0;
  const callAll = () =>
    Promise.all(
      Array.from({ length: CALLS }, () =>
        callers[number % callers.length]!.chat(chat(number++))),
    );
  const evacuatedRuns = async () =>
    (await fleet.backends[1]!.server.records()).length;
  const objects = { ...exampleObjects(), evacuations: [{ name: EVACUATED }] };
  await callAll();
  t.ok(await evacuatedRuns() > 0, "the server is used before");
  const { configurationRevision } = await fleet.entries[0]!.status();
  await publishObjects(
    fleet.keyValueStore.url,
    objects,
    Number(configurationRevision),
  );
  await setTimeout(APPLY_TIME);
  const before = await evacuatedRuns();
  const outcomes = await callAll();
  t.ok(
    outcomes.every((outcome) => "status" in outcome && outcome.status === 200),
  );
  t.equal(await evacuatedRuns(), before);
});

import t from "tap";
import { Fleet, waitFor } from "../src/mod.ts";

// Guards against an entry that waits for the service or refuses every call.
t.test("an entry that starts during an outage gets its configuration from peers", async (t) => {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [1, 2].map(() => ({
      kind: "model",
      service: "assistant",
      version: "assistant-1",
      options: { stepTime: 2 },
    })),
  });
  t.teardown(() => fleet.kill());
  await fleet.keyValueStore.putFaults({ outage: "refuse" });
  const started = await fleet.addEntry();
  await started.waitUntilReady();
  const [before, after] = await Promise.all(
    [fleet.entries[0]!, started].map((entry) => entry.status()),
  );
  t.ok(Number(before?.["configurationRevision"]) > 0);
  t.equal(after?.["configurationRevision"], before?.["configurationRevision"]);
  const outcome = await fleet.caller(started)
    .chat({ marker: "during", service: "assistant" });
  t.match(outcome, { type: "answered" });
});

// Guards against a second run: the outage hides whether the call ran before.
t.test("a non-idempotent call refused during an outage has not run", async (t) => {
  const fleet = await Fleet.start({
    entries: 1,
    backends: [{
      kind: "plain",
      service: "bookings",
      version: "bookings-1",
      options: { callTime: 1 },
    }],
  });
  t.teardown(() => fleet.kill());
  const caller = fleet.caller();
  const booking = {
    marker: "booking",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-1",
  } as const;
  await fleet.keyValueStore.putFaults({ outage: "refuse" });
  const refused = await caller.callPlainService(booking);
  t.match(refused, { type: "refused", reason: "claims_unavailable" });
  t.equal(refused.type === "refused" && refused.ran, "no");
  t.same(await fleet.runs(), []);
  await fleet.keyValueStore.putFaults({});
  await waitFor("the booking to be accepted", async () => {
    const outcome = await caller.callPlainService(booking);
    return outcome.type === "answered";
  });
  t.equal((await fleet.runs()).length, 1);
});

import t from "tap";
import { Fleet, waitFor } from "../src/mod.ts";

t.test("a process that starts during an outage learns from peers", async (t) => {
  // The key-value service is down and an entry is replaced. Were it to wait
  // for the service, the balancer would have one entry less for hours; were it
  // to start with nothing, it would refuse every caller.
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
  const answer = await fleet.caller(started)
    .chat({ marker: "during", service: "assistant" });
  t.match(answer, { type: "answered" });
});

t.test("a non-idempotent call during an outage is truly not run", async (t) => {
  // A customer orders a slot while nobody can tell whether the order was placed
  // before. It must not run, and must say so; once the service is back the same
  // key runs, once.
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
  await waitFor("the booking to be taken", async () => {
    const outcome = await caller.callPlainService(booking);
    return outcome.type === "answered";
  });
  t.equal((await fleet.runs()).length, 1);
});

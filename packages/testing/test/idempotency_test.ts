// Guards against two bookings when a caller retries after a lost response.
import t from "tap";
import { Fleet, waitFor } from "../src/mod.ts";
import type { CallOutcome } from "../src/mod.ts";

const fleet = await Fleet.start({
  entries: 2,
  backends: [1, 2].map((callTime) => ({
    kind: "plain",
    service: "bookings",
    version: "bookings-1",
    options: { callTime },
  })),
});
t.teardown(() => fleet.kill());
const caller = fleet.caller(fleet.entries[0]);
const otherCaller = fleet.caller(fleet.entries[1]);

function isInProgress(outcome: CallOutcome) {
  return outcome.type === "refused" &&
    outcome.reason === "idempotency_in_progress";
}

/** Books until each server holds booking 1: they don't share theirs. */
async function bookAtEachServer(): Promise<void> {
  for (let count = 0; count < 50; count++) {
    const bookings = await fleet.runs();
    if (new Set(bookings.map(({ server }) => server)).size === 2) return;
    await caller.callPlainService({
      marker: `each-${count}`,
      service: "bookings",
      method: "POST",
      path: "/bookings",
      idempotencyKey: `each-${count}`,
    });
  }
  throw new Error("one of the servers got none of 50 bookings");
}

t.test("a retried booking runs once, through the same entry or another", async (t) => {
  const booking = {
    marker: "booking",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-1",
  } as const;
  const first = await caller.callPlainService(booking);
  t.match(first, { type: "answered", status: 201 });
  t.same(await caller.callPlainService(booking), first);
  // The outcome is stored shortly after the response. Until then the other
  // entry must refuse the retry as in progress, and never run it again.
  const elsewhere = await waitFor(
    "the other entry to return the stored outcome",
    async () => {
      const outcome = await otherCaller.callPlainService(booking);
      return isInProgress(outcome) ? undefined : outcome;
    },
  );
  t.same(elsewhere, first);
  const ran = (await fleet.runs()).filter((run) => run.marker === "booking");
  t.equal(ran.length, 1);
});

t.test("a booking sent through two entries at the same time runs once", async (t) => {
  const booking = {
    marker: "racing",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-2",
  } as const;
  await Promise.all([
    caller.callPlainService(booking),
    otherCaller.callPlainService(booking),
  ]);
  const ran = (await fleet.runs()).filter((run) => run.marker === "racing");
  t.equal(ran.length, 1);
});

t.test("a request with a used key and another body is refused", async (t) => {
  const booking = {
    marker: "reused",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-3",
  } as const;
  await caller.callPlainService({ ...booking, body: { slot: "nine" } });
  const reused = await otherCaller.callPlainService({
    ...booking,
    body: { slot: "ten" },
  });
  t.match(reused, { reason: "idempotency_key_reused", ran: "no" });
});

t.test("a lost response to the claim's write does not lead to a second run", async (t) => {
  const booking = {
    marker: "lost-answer",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-4",
  } as const;
  await fleet.keyValueStore.putFaults({ lostWriteAnswers: 1 });
  await caller.callPlainService(booking);
  await otherCaller.callPlainService(booking);
  await fleet.keyValueStore.putFaults({});
  const ran = (await fleet.runs()).filter((run) =>
    run.marker === "lost-answer"
  );
  t.ok(ran.length <= 1);
});

t.test("a booking is refused during an outage of the key-value service", async (t) => {
  await bookAtEachServer();
  await fleet.keyValueStore.putFaults({ outage: "refuse" });
  const refused = await caller.callPlainService({
    marker: "outage",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-5",
  });
  t.match(refused, { reason: "claims_unavailable", ran: "no" });
  const lookup = await caller.callPlainService({
    marker: "lookup",
    service: "bookings",
    method: "GET",
    path: "/bookings/1",
  });
  t.match(lookup, { type: "answered", status: 200 });
  await fleet.keyValueStore.putFaults({});
  const runs = await fleet.runs();
  t.same(runs.filter((run) => run.marker === "outage"), []);
});

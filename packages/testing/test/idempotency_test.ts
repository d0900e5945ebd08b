// A caller books a slot, loses the answer on the way and sends the booking again,
// perhaps through another entry, perhaps while the first is still running. If
// both run, two craftsmen come and both are paid.
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
const other = fleet.caller(fleet.entries[1]);

function isUnderWay(outcome: CallOutcome) {
  return outcome.type === "refused" &&
    outcome.reason === "idempotency_in_progress";
}

t.test("a resent booking runs once, at either entry", async (t) => {
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
  // The outcome is recorded a moment after the answer; until then the other
  // entry must say that the first is under way, and never run it again.
  const elsewhere = await waitFor(
    "the outcome at the other entry",
    async () => {
      const outcome = await other.callPlainService(booking);
      return isUnderWay(outcome) ? undefined : outcome;
    },
  );
  t.same(elsewhere, first);
  const ran = (await fleet.runs()).filter((run) => run.marker === "booking");
  t.equal(ran.length, 1);
});

t.test("a booking sent twice at once runs once", async (t) => {
  const booking = {
    marker: "racing",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-2",
  } as const;
  await Promise.all([
    caller.callPlainService(booking),
    other.callPlainService(booking),
  ]);
  const ran = (await fleet.runs()).filter((run) => run.marker === "racing");
  t.equal(ran.length, 1);
});

t.test("another body under the same key is refused", async (t) => {
  const booking = {
    marker: "reused",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-3",
  } as const;
  await caller.callPlainService({ ...booking, body: { slot: "nine" } });
  const reused = await other.callPlainService({
    ...booking,
    body: { slot: "ten" },
  });
  t.match(reused, { reason: "idempotency_key_reused", ran: "no" });
});

t.test("a lost answer to the claim costs no second run", async (t) => {
  const booking = {
    marker: "lost-answer",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-4",
  } as const;
  await fleet.keyValueStore.putFaults({ lostWriteAnswers: 1 });
  await caller.callPlainService(booking);
  await other.callPlainService(booking);
  await fleet.keyValueStore.putFaults({});
  const ran = (await fleet.runs()).filter((run) =>
    run.marker === "lost-answer"
  );
  t.ok(ran.length <= 1);
});

t.test("without the key-value service a booking is refused", async (t) => {
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

// A caller books a slot, loses the answer on the way and sends the booking again,
// perhaps through another entry, perhaps while the first is still running. If
// both run, two craftsmen come and both are paid.
import t from "tap";
import { Fleet } from "../src/mod.ts";

const fleet = await Fleet.start({
  entries: 2,
  backends: [1, 2].map((callTime) => ({
    kind: "plain",
    service: "bookings",
    version: "bookings-1",
    options: { callTime },
  })),
});
t.teardown(() => fleet.stop());
const caller = fleet.caller(fleet.entries[0]);
const other = fleet.caller(fleet.entries[1]);

t.test("a resent booking runs once, at either entry", async (t) => {
  const booking = {
    marker: "booking",
    service: "bookings",
    method: "POST",
    path: "/bookings",
    idempotencyKey: "key-1",
  } as const;
  const first = await caller.plain(booking);
  t.match(first, { type: "answered", status: 201 });
  t.same(await caller.plain(booking), first);
  t.same(await other.plain(booking), first);
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
  await Promise.all([caller.plain(booking), other.plain(booking)]);
  const ran = (await fleet.runs()).filter((run) => run.marker === "racing");
  t.equal(ran.length, 1);
});

import t from "tap";
import {
  CallLimit,
  GRANT_TIMEOUT,
  ReservationScheduler,
  WaitingQueue,
} from "../src/mod.ts";
import { waitingReservation } from "./waiting_reservation.ts";

function createScheduler(initial: number): ReservationScheduler {
  return new ReservationScheduler({
    queue: new WaitingQueue({ capacity: 10 }),
    limit: new CallLimit({ initial }),
  });
}

t.test("capacity is granted, and further reservations wait", (t) => {
  const scheduler = createScheduler(1);
  const [grant] = scheduler.reserve(waitingReservation("a"), 0);
  t.match(grant, { kind: "grant", id: "a" });
  t.same(scheduler.reserve(waitingReservation("b"), 0), []);
  t.equal(scheduler.waiting, 1);
  t.end();
});

t.test("an expired grant cannot be redeemed", (t) => {
  // The request of a paused entry would exceed the limit, or run twice.
  const scheduler = createScheduler(1);
  const [grant] = scheduler.reserve(waitingReservation("a"), 0);
  scheduler.reserve(waitingReservation("b"), 0);
  const late = scheduler.tick(GRANT_TIMEOUT);
  t.match(late[0], { kind: "refuse", id: "a", reason: "grant_lapsed" });
  t.match(late[1], { kind: "grant", id: "b" });
  t.ok(grant?.kind === "grant");
  if (grant?.kind === "grant") {
    t.equal(scheduler.redeem("a", grant.grant).valid, false);
  }
  t.end();
});

t.test("a grant can be redeemed only once", (t) => {
  const scheduler = createScheduler(1);
  const [grant] = scheduler.reserve(waitingReservation("a"), 0);
  const number = grant?.kind === "grant" ? grant.grant : -1;
  t.equal(scheduler.redeem("a", number).valid, true);
  t.equal(scheduler.redeem("a", number).valid, false);
  t.end();
});

t.test("a suspect runs alone", (t) => {
  const scheduler = createScheduler(4);
  const [first] = scheduler.reserve(waitingReservation("a"), 0);
  scheduler.redeem("a", first?.kind === "grant" ? first.grant : -1);
  t.same(scheduler.reserve(waitingReservation("s", { suspect: true }), 0), []);
  t.match(scheduler.recordEnd("a", "ok", 1), [{ kind: "grant", id: "s" }]);
  t.same(scheduler.reserve(waitingReservation("b"), 2), []);
  t.end();
});

t.test("closing refuses waiting and granted reservations", (t) => {
  const scheduler = createScheduler(1);
  scheduler.reserve(waitingReservation("a"), 0);
  scheduler.reserve(waitingReservation("b"), 0);
  const refused = scheduler.close("leaving", 1).map((decision) => decision.id);
  t.same(refused.sort(), ["a", "b"]);
  t.match(scheduler.reserve(waitingReservation("c"), 2), [{
    reason: "leaving",
  }]);
  t.end();
});

t.test("other requests are held back only while a suspect waits", (t) => {
  // On a server that is always busy, the suspect would otherwise never start.
  const scheduler = createScheduler(4);
  const [first] = scheduler.reserve(waitingReservation("a"), 0);
  scheduler.redeem("a", first?.kind === "grant" ? first.grant : -1);
  scheduler.reserve(waitingReservation("s", { suspect: true }), 0);
  t.match(scheduler.reserve(waitingReservation("b"), 500), [{
    kind: "grant",
    id: "b",
  }]);
  t.same(scheduler.reserve(waitingReservation("c"), 1500), []);
  t.match(scheduler.withdraw("s", 1600), [{ kind: "grant", id: "c" }]);
  t.end();
});

t.test("a rate limit delays grants", (t) => {
  const scheduler = createScheduler(4);
  scheduler.setRateLimit(2, 0);
  for (const id of ["a", "b", "c"]) {
    t.same(scheduler.reserve(waitingReservation(id), 0), []);
  }
  t.match(scheduler.tick(500), [{ kind: "grant", id: "a" }]);
  t.same(scheduler.tick(600), []);
  t.match(scheduler.withdraw("a", 700), [{ kind: "grant", id: "b" }]);
  t.match(scheduler.setRateLimit(undefined, 800), [{ kind: "grant", id: "c" }]);
  t.end();
});

t.test("nothing is granted in a pause, which a shorter one does not end", (t) => {
  // Guards against requests to a server that wants none for a while.
  const scheduler = createScheduler(2);
  scheduler.pause(3000, 1000);
  scheduler.pause(100, 1500);
  t.same(scheduler.reserve(waitingReservation("a"), 1600), []);
  t.same(scheduler.tick(3999), []);
  t.equal(scheduler.remainingPause(3999), 1);
  t.match(scheduler.tick(4000), [{ kind: "grant", id: "a" }]);
  t.equal(scheduler.remainingPause(4000), 0);
  t.end();
});

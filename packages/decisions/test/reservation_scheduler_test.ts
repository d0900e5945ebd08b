import t from "tap";
import {
  CallLimit,
  GRANT_TIMEOUT,
  ReservationScheduler,
  WaitingQueue,
} from "../src/mod.ts";
import { waitingReservation } from "./waiting_reservation.ts";

function desk(initial: number): ReservationScheduler {
  return new ReservationScheduler({
    queue: new WaitingQueue({ capacity: 10 }),
    limit: new CallLimit({ initial }),
  });
}

t.test("room is granted, then the rest waits", (t) => {
  const desk1 = desk(1);
  const [grant] = desk1.reserve(waitingReservation("a"), 0);
  t.match(grant, { kind: "grant", id: "a" });
  t.same(desk1.reserve(waitingReservation("b"), 0), []);
  t.equal(desk1.waiting, 1);
  t.end();
});

t.test("a lapsed grant answered late is stale", (t) => {
  // An entry is paused after its reservation was granted. The room goes to
  // another request; the entry wakes up and hands its request over. It must
  // not run: it would exceed the limit, and may be placed elsewhere already.
  const desk1 = desk(1);
  const [grant] = desk1.reserve(waitingReservation("a"), 0);
  desk1.reserve(waitingReservation("b"), 0);
  const late = desk1.tick(GRANT_TIMEOUT);
  t.match(late[0], { kind: "refuse", id: "a", reason: "grant_lapsed" });
  t.match(late[1], { kind: "grant", id: "b" });
  t.ok(grant?.kind === "grant");
  if (grant?.kind === "grant") {
    t.equal(desk1.redeem("a", grant.grant).valid, false);
  }
  t.end();
});

t.test("a grant is redeemed once", (t) => {
  const desk1 = desk(1);
  const [grant] = desk1.reserve(waitingReservation("a"), 0);
  const number = grant?.kind === "grant" ? grant.grant : -1;
  t.equal(desk1.redeem("a", number).valid, true);
  t.equal(desk1.redeem("a", number).valid, false);
  t.end();
});

t.test("a suspect runs with nothing beside it", (t) => {
  const desk1 = desk(4);
  const [first] = desk1.reserve(waitingReservation("a"), 0);
  desk1.redeem("a", first?.kind === "grant" ? first.grant : -1);
  t.same(desk1.reserve(waitingReservation("s", { suspect: true }), 0), []);
  t.match(desk1.finished("a", "ok", 1), [{ kind: "grant", id: "s" }]);
  t.same(desk1.reserve(waitingReservation("b"), 2), []);
  t.end();
});

t.test("closing refuses all that waits or is granted", (t) => {
  const desk1 = desk(1);
  desk1.reserve(waitingReservation("a"), 0);
  desk1.reserve(waitingReservation("b"), 0);
  const refused = desk1.close("leaving", 1).map((one) => one.id);
  t.same(refused.sort(), ["a", "b"]);
  t.match(desk1.reserve(waitingReservation("c"), 2), [{ reason: "leaving" }]);
  t.end();
});

t.test("a busy server empties for a suspect, and for no one else", (t) => {
  // A request was beside another that crashed a server. Sent again, it must
  // run alone, but a busy server never empties by itself and it would wait for
  // ever; once it has gone, the server must not go on holding others back.
  const desk1 = desk(4);
  const [first] = desk1.reserve(waitingReservation("a"), 0);
  desk1.redeem("a", first?.kind === "grant" ? first.grant : -1);
  desk1.reserve(waitingReservation("s", { suspect: true }), 0);
  t.match(desk1.reserve(waitingReservation("b"), 500), [{
    kind: "grant",
    id: "b",
  }]);
  t.same(desk1.reserve(waitingReservation("c"), 1500), []);
  t.match(desk1.withdraw("s", 1600), [{ kind: "grant", id: "c" }]);
  t.end();
});

t.test("a stated limit paces the grants", (t) => {
  const desk1 = desk(4);
  desk1.setRateLimit(2, 0);
  for (const id of ["a", "b", "c"]) {
    t.same(desk1.reserve(waitingReservation(id), 0), []);
  }
  t.match(desk1.tick(500), [{ kind: "grant", id: "a" }]);
  t.same(desk1.tick(600), []);
  t.match(desk1.withdraw("a", 700), [{ kind: "grant", id: "b" }]);
  t.match(desk1.setRateLimit(undefined, 800), [{ kind: "grant", id: "c" }]);
  t.end();
});

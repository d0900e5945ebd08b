import t from "tap";
import { ServiceScheduler } from "../src/mod.ts";
import { ask, granted, orderOf } from "./grant_requests.ts";
import { serverRecord as server } from "./server_record.ts";

t.test("a large answer isn't last for its size alone", (t) => {
  // In a burst not all of a tier can be served in time. A plan of 15 times the
  // usual size is worth four usual ones to its caller. Ordered by the time that
  // it takes, it came after all others, and so never.
  const desk = new ServiceScheduler();
  desk.setServers([server("x", { slots: 1 })]);
  for (let count = 0; count < 200; count++) {
    const usual = ask();
    desk.submit(usual, 0);
    desk.decide(0);
    desk.recordEnd(usual.id, "answered", 0);
  }
  const running = ask();
  desk.submit(running, 0);
  desk.decide(0);
  const small = ask({ cost: { promptTokens: 600, outputTokens: 150 } });
  const large = ask({ cost: { promptTokens: 9000, outputTokens: 450 } });
  const middle = ask({ cost: { promptTokens: 9000, outputTokens: 160 } });
  const order = orderOf(desk, running, [small, large, middle]);
  t.same(order, [middle.id, large.id, small.id]);
  t.end();
});

t.test("what can still be on time isn't refused in a burst", (t) => {
  // Twice as much arrives in two seconds as there are places for. Whoever came
  // last was told at once that the service is full, although half of those
  // before it had left meanwhile and a place was free within its goal.
  const desk = new ServiceScheduler();
  desk.setServers([server("x", { slots: 2 })]);
  let refused = 0;
  const running: string[] = [];
  const cost = { promptTokens: 600, outputTokens: 120 };
  for (let now = 0; now < 2000; now += 10) {
    if (now % 60 === 0) {
      const done = running.shift();
      if (done !== undefined) desk.recordEnd(done, "answered", now);
    }
    if (now % 50 === 0) {
      const one = ask({ arrived: now, cost });
      if (desk.submit(one, now) !== undefined) refused++;
    }
    const verdicts = desk.decide(now);
    refused += verdicts.filter(({ kind }) => kind === "refuse").length;
    running.push(...granted(verdicts));
  }
  t.equal(refused, 0);
  t.end();
});

t.test("nobody is refused for overload while a place is free", (t) => {
  // After a restart the process itself is slow, and so are the answers that it
  // measures. By the times that it then expected its servers were full for
  // seconds: 26 callers were refused in one, with 22 of 132 places free.
  const desk = new ServiceScheduler();
  desk.setServers([server("x", { slots: 4 })]);
  const cost = { promptTokens: 60_000, outputTokens: 4000 };
  const first = ask({ cost });
  desk.submit(first, 0);
  desk.decide(0);
  desk.recordResponseStart(first.id, 5000, 1);
  // One prompt of this size is read at a time, so the others wait.
  const reading = ask({ cost });
  desk.submit(reading, 2);
  desk.decide(2);
  for (let count = 0; count < 8; count++) desk.submit(ask({ cost }), 2);
  const late = ask({ cost, latencyGoalAt: 3400, expiresAt: 5000 });
  desk.submit(late, 2);
  const refused = desk.decide(101).filter(({ kind }) => kind === "refuse");
  t.same(refused, []);
  t.end();
});

t.test("a caller that comes back goes before a new one worth less", (t) => {
  const desk = new ServiceScheduler();
  desk.setServers([server("x", { slots: 1 })]);
  const running = ask();
  desk.submit(running, 0);
  desk.decide(0);
  const refused = ask({
    latencyGoalAt: -1,
    expiresAt: -1,
    fingerprint: "again",
  });
  desk.submit(refused, 0);
  t.match(desk.decide(0), [{ kind: "refuse" }]);
  const again = ask({ fingerprint: "again" });
  const longer = ask({ cost: { promptTokens: 600, outputTokens: 4000 } });
  t.same(orderOf(desk, running, [longer, again]), [again.id, longer.id]);
  t.end();
});

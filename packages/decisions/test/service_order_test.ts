import t from "tap";
import { ServiceScheduler } from "../src/mod.ts";
import { grantedIds, grantOrder, grantRequest } from "./grant_requests.ts";
import { serverRecord as server } from "./server_record.ts";

t.test("a larger response can be served before a smaller one", (t) => {
  // By time alone, responses of 15 times the usual size, worth 4, never start.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 1 })], 0);
  for (let count = 0; count < 200; count++) {
    const usual = grantRequest();
    scheduler.submit(usual, 0);
    scheduler.decide(0);
    scheduler.recordEnd(usual.id, "answered", 0);
  }
  const running = grantRequest();
  scheduler.submit(running, 0);
  scheduler.decide(0);
  const small = grantRequest({
    cost: { promptTokens: 600, outputTokens: 150 },
  });
  const large = grantRequest({
    cost: { promptTokens: 9000, outputTokens: 450 },
  });
  const middle = grantRequest({
    cost: { promptTokens: 9000, outputTokens: 160 },
  });
  const order = grantOrder(scheduler, running, [small, large, middle]);
  t.same(order, [middle.id, large.id, small.id]);
  t.end();
});

t.test("a request that can still be timely is not refused in a burst", (t) => {
  // At twice the capacity for 2 s, slots that became free in time were ignored.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 2 })], 0);
  let refused = 0;
  const running: string[] = [];
  const cost = { promptTokens: 600, outputTokens: 120 };
  for (let now = 0; now < 2000; now += 10) {
    if (now % 60 === 0) {
      const done = running.shift();
      if (done !== undefined) scheduler.recordEnd(done, "answered", now);
    }
    if (now % 50 === 0) {
      const request = grantRequest({ arrived: now, cost });
      if (scheduler.submit(request, now) !== undefined) refused++;
    }
    const decisions = scheduler.decide(now);
    refused += decisions.filter(({ kind }) => kind === "refuse").length;
    running.push(...grantedIds(decisions));
  }
  t.equal(refused, 0);
  t.end();
});

t.test("no request is refused for overload while a slot is free", (t) => {
  // Slow responses after a restart: 26 refusals with 22 of 132 slots free.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 4 })], 0);
  const cost = { promptTokens: 60_000, outputTokens: 4000 };
  const first = grantRequest({ cost });
  scheduler.submit(first, 0);
  scheduler.decide(0);
  scheduler.recordResponseStart(first.id, 5000, 1);
  // Prefill of this size is admitted one at a time, so the other requests wait.
  const inPrefill = grantRequest({ cost });
  scheduler.submit(inPrefill, 2);
  scheduler.decide(2);
  for (let count = 0; count < 8; count++) {
    scheduler.submit(grantRequest({ cost }), 2);
  }
  const late = grantRequest({ cost, latencyGoalAt: 3400, expiresAt: 5000 });
  scheduler.submit(late, 2);
  const refused = scheduler.decide(101).filter(({ kind }) => kind === "refuse");
  t.same(refused, []);
  t.end();
});

t.test("a retrying caller is served before a new request of lower value", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 1 })], 0);
  const running = grantRequest();
  scheduler.submit(running, 0);
  scheduler.decide(0);
  const refused = grantRequest({
    latencyGoalAt: -1,
    expiresAt: -1,
    fingerprint: "retried",
  });
  scheduler.submit(refused, 0);
  t.match(scheduler.decide(0), [{ kind: "refuse" }]);
  const retry = grantRequest({ fingerprint: "retried" });
  const longer = grantRequest({
    cost: { promptTokens: 600, outputTokens: 4000 },
  });
  t.same(grantOrder(scheduler, running, [longer, retry]), [
    retry.id,
    longer.id,
  ]);
  t.end();
});

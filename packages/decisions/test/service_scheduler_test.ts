import t from "tap";
import { ServiceScheduler } from "../src/mod.ts";
import { grantedIds, grantRequest } from "./grant_requests.ts";
import { serverRecord as server } from "./server_record.ts";

t.test("a server is not sent more requests than it has slots", (t) => {
  // A request that waits inside an engine cannot be overtaken by an urgent one.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x")], 0);
  const requests = [grantRequest(), grantRequest(), grantRequest()];
  for (const request of requests) {
    t.equal(scheduler.submit(request, 0), undefined);
  }
  t.same(grantedIds(scheduler.decide(0)), [requests[0]!.id, requests[1]!.id]);
  t.same(scheduler.decide(1), []);
  scheduler.recordEnd(requests[0]!.id, "answered", 50);
  t.same(grantedIds(scheduler.decide(50)), [requests[2]!.id]);
  t.end();
});

t.test("higher tiers are served first, and shorter responses first within a tier", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 1 })], 0);
  const running = grantRequest();
  scheduler.submit(running, 0);
  scheduler.decide(0);
  const lower = grantRequest({
    tierRank: 1,
    cost: { promptTokens: 60, outputTokens: 10 },
  });
  const long = grantRequest({ cost: { promptTokens: 600, outputTokens: 500 } });
  const short = grantRequest({ cost: { promptTokens: 600, outputTokens: 30 } });
  for (const request of [lower, long, short]) scheduler.submit(request, 0);
  const order: string[] = [];
  let last = running.id;
  for (let now = 10; now < 50; now += 10) {
    scheduler.recordEnd(last, "answered", now);
    const [next] = grantedIds(scheduler.decide(now));
    if (next === undefined) break;
    order.push(next);
    last = next;
  }
  t.same(order, [short.id, long.id, lower.id]);
  t.end();
});

t.test("a server that refuses connections is avoided, then tried with one request", (t) => {
  // A crashed server looks idle: it attracted 3,283 of 19,000 attempts.
  const scheduler = new ServiceScheduler();
  scheduler.setServers(
    [server("x", { slots: 8 }), server("y", { slots: 8 })],
    0,
  );
  const first = grantRequest();
  scheduler.submit(first, 0);
  const [grant] = scheduler.decide(0);
  if (grant?.kind !== "grant") return t.fail("not granted");
  const down = grant.server;
  scheduler.recordEnd(first.id, "connection_refused", 1);
  for (let count = 0; count < 8; count++) scheduler.submit(grantRequest(), 2);
  const servers = scheduler.decide(2)
    .map((decision) => decision.kind === "grant" ? decision.server : "");
  t.notOk(servers.includes(down));
  t.equal(servers.length, 8);
  for (let count = 0; count < 8; count++) scheduler.submit(grantRequest(), 400);
  const later = scheduler.decide(400)
    .map((decision) => decision.kind === "grant" ? decision.server : "");
  t.equal(
    later.filter((name) => name === down).length,
    1,
    "a single request tries it again",
  );
  t.end();
});

t.test("a server whose address another server has taken over is sent no requests", (t) => {
  // Quick rejections make it look fast, and use up the service's retries.
  const scheduler = new ServiceScheduler();
  scheduler.setServers(
    [server("x", { slots: 8 }), server("y", { slots: 8 })],
    0,
  );
  const first = grantRequest();
  scheduler.submit(first, 0);
  const [grant] = scheduler.decide(0);
  if (grant?.kind !== "grant") return t.fail("not granted");
  scheduler.recordEnd(first.id, "misdirected", 1);
  for (let count = 0; count < 8; count++) scheduler.submit(grantRequest(), 2);
  const servers = scheduler.decide(2)
    .map((decision) => decision.kind === "grant" ? decision.server : "");
  t.notOk(servers.includes(grant.server));
  t.end();
});

t.test("after a connection timeout only the entry concerned avoids the server", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 8 })], 0);
  const first = grantRequest();
  scheduler.submit(first, 0);
  scheduler.decide(0);
  scheduler.recordEnd(first.id, "connection_timeout", 300);
  const sameEntry = grantRequest({ arrived: 300 });
  const otherEntry = grantRequest({ arrived: 300, entry: "entry-2" });
  scheduler.submit(sameEntry, 300);
  scheduler.submit(otherEntry, 300);
  t.same(grantedIds(scheduler.decide(300)), [otherEntry.id]);
  t.end();
});

t.test("a waiting request is refused when it expires", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 1 })], 0);
  scheduler.submit(grantRequest(), 0);
  scheduler.decide(0);
  const waiting = grantRequest({ expiresAt: 1600 });
  scheduler.submit(waiting, 0);
  t.same(scheduler.decide(1599), []);
  const [decision] = scheduler.decide(1601);
  t.equal(decision?.kind, "refuse");
  if (decision?.kind === "refuse") t.ok(decision.retryAfter >= 1000);
  t.equal(scheduler.waiting, 0);
  t.end();
});

t.test("the retry delay is at most 5 s and a third of the time left, less jitter", (t) => {
  // With 1.5 to 3.5 s, the only retry fell into the same burst, of up to 5 s.
  const retryDelay = (deadline: number, jitter: number): number => {
    const scheduler = new ServiceScheduler();
    scheduler.setServers([server("x", { slots: 1 })], 0);
    scheduler.submit(
      grantRequest({
        latencyGoalAt: -1,
        expiresAt: -1,
        deadline,
        jitter,
      }),
      0,
    );
    const [decision] = scheduler.decide(0);
    return decision?.kind === "refuse" ? decision.retryAfter : NaN;
  };
  t.equal(retryDelay(12_000, 0), 4000);
  t.equal(retryDelay(12_000, 1), 2000);
  t.equal(retryDelay(3000, 0), 1000);
  t.equal(retryDelay(60_000, 0), 5000);
  t.end();
});

t.test("a retrying caller is served before late requests of its tier", (t) => {
  // A caller has one retry, so a second refusal is final.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 1 })], 0);
  const running = grantRequest();
  scheduler.submit(running, 0);
  scheduler.decide(0);
  const refused = grantRequest({
    latencyGoalAt: 50,
    expiresAt: 100,
    fingerprint: "retried",
  });
  scheduler.submit(refused, 0);
  t.match(scheduler.decide(101), [{ kind: "refuse" }]);
  const late = grantRequest({
    arrived: 2000,
    latencyGoalAt: 1900,
    expiresAt: 4000,
  });
  const retry = grantRequest({
    arrived: 2000,
    fingerprint: "retried",
    expiresAt: 4000,
  });
  scheduler.submit(late, 2000);
  scheduler.submit(retry, 2000);
  scheduler.recordEnd(running.id, "answered", 2010);
  t.same(grantedIds(scheduler.decide(2010)), [retry.id]);
  t.end();
});

t.test("a long response is not sent to a server too slow to complete it", (t) => {
  // At a fifth of the usual speed, 1,500 tokens are not complete in time.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([
    server("slow", { slots: 4 }),
    server("fast", { slots: 4 }),
  ], 0);
  for (let count = 0; count < 40; count++) {
    const request = grantRequest();
    scheduler.submit(request, count);
    const [decision] = scheduler.decide(count);
    if (decision?.kind !== "grant") return t.fail("not granted");
    const isSlow = decision.server.startsWith("slow");
    scheduler.recordResponseStart(request.id, isSlow ? 150 : 80, count);
    const measured = isSlow ? 1500 : 250;
    scheduler.recordStreamTiming(
      request.id,
      { tokens: 100, measured, pausePart: 0 },
      count,
    );
    scheduler.recordEnd(request.id, "answered", count);
  }
  const servers: string[] = [];
  for (let count = 0; count < 6; count++) {
    scheduler.submit(
      grantRequest({ cost: { promptTokens: 600, outputTokens: 1500 } }),
      50,
    );
    for (const decision of scheduler.decide(50)) {
      if (decision.kind === "grant") servers.push(decision.server);
    }
  }
  t.same(servers, Array(4).fill("fast@1"));
  t.end();
});

t.test("long prompts are not sent to servers whose responses they stall", (t) => {
  // At a slow engine, prefill of one prompt stalled eleven responses for 0.5 s.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([
    server("slow", { slots: 9 }),
    server("fast", { slots: 9 }),
  ], 0);
  const cost = { promptTokens: 9000, outputTokens: 100 };
  const long = (now: number) =>
    grantRequest({
      cost,
      arrived: now,
      latencyGoalAt: now + 5000,
      expiresAt: now + 9000,
    });
  for (let now = 0; now < 12_000; now += 300) {
    scheduler.submit(long(now), now);
    scheduler.submit(long(now), now);
    for (const decision of scheduler.decide(now)) {
      if (decision.kind !== "grant") return t.fail("not granted");
      const isSlow = decision.server.startsWith("slow");
      const pausePart = isSlow ? 2 : 0.3;
      scheduler.recordResponseStart(decision.request.id, 150, now);
      const timing = { tokens: 100, measured: 400, pausePart };
      scheduler.recordStreamTiming(decision.request.id, timing, now);
      scheduler.recordEnd(decision.request.id, "answered", now);
    }
  }
  const servers: string[] = [];
  for (const request of [long(12_000), long(12_000), long(12_000)]) {
    scheduler.submit(request, 12_000);
  }
  const short = { promptTokens: 600, outputTokens: 100 };
  for (let count = 0; count < 9; count++) {
    scheduler.submit(grantRequest({ cost: short, arrived: 12_000 }), 12_000);
  }
  for (const decision of scheduler.decide(12_000)) {
    if (decision.kind !== "grant") continue;
    const size = decision.request.cost.promptTokens === 9000 ? "long" : "short";
    servers.push(`${size} at ${decision.server}`);
  }
  t.notOk(servers.includes("long at slow@1"));
  t.ok(servers.includes("long at fast@1"));
  t.ok(
    servers.includes("short at slow@1"),
    "short prompts are still sent there",
  );
  t.end();
});

t.test("a request for which all servers have been tried is refused at once", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x")], 0);
  const decision = scheduler.submit(
    grantRequest({ excludedServers: ["x@1"] }),
    0,
  );
  t.equal(decision?.kind, "refuse");
  t.equal(scheduler.waiting, 0);
  t.end();
});

t.test("removing an entry frees the slots of its runs", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([server("x", { slots: 1 })], 0);
  scheduler.submit(grantRequest({ entry: "gone" }), 0);
  scheduler.decide(0);
  const waiting = grantRequest();
  scheduler.submit(waiting, 0);
  t.same(scheduler.decide(1), []);
  scheduler.removeEntry("gone");
  t.same(grantedIds(scheduler.decide(2)), [waiting.id]);
  t.end();
});

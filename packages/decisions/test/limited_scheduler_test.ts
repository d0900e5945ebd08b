import t from "tap";
import { GroupScheduler, ServerLimits } from "../src/mod.ts";
import type { GrantDecision, GrantRequest } from "../src/mod.ts";
import { grantedIds, grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };
/** Requests per second that limited servers state. */
const LIMIT = 2;
const FRACTIONS = { room: 1, quota: 1 };

function schedulerOf(
  servers: readonly string[],
  limits: ServerLimits,
): GroupScheduler {
  const scheduler = new GroupScheduler(LEEWAY, limits);
  scheduler.setServers(servers.map((id) => serverRecord(id, { slots: 8 })), 0);
  scheduler.setQuotas(new Map(), FRACTIONS, 0);
  return scheduler;
}

function limitsOf(servers: readonly string[]): ServerLimits {
  const limits = new ServerLimits();
  for (const server of servers) {
    limits.observe(`${server}@1`, {
      perSecond: LIMIT,
      by: "entry",
      observedAt: 0,
    });
  }
  return limits;
}

/** Submits a request every `spacing` ms until `end`; each run takes 100 ms. */
function runLoad(
  scheduler: GroupScheduler,
  options: { from?: number; end: number; spacing: number },
  outcomeOf: (
    request: GrantRequest,
  ) => Parameters<GroupScheduler["recordEnd"]>[1] = () => "answered",
): { at: number; decision: GrantDecision }[] {
  const decisions: { at: number; decision: GrantDecision }[] = [];
  const running: { id: string; at: number; request: GrantRequest }[] = [];
  const cost = { promptTokens: 0, outputTokens: 1 };
  for (let now = options.from ?? 0; now < options.end; now += 10) {
    if (now % options.spacing === 0) {
      const expiresAt = now + 1000;
      const request = grantRequest({
        arrived: now,
        cost,
        latencyGoalAt: now + 300,
        expiresAt,
      });
      const decision = scheduler.submit(request, now);
      if (decision !== undefined) decisions.push({ at: now, decision });
    }
    for (const { id, request } of running.filter(({ at }) => at === now)) {
      scheduler.recordEnd(id, outcomeOf(request), now);
    }
    for (const decision of scheduler.decide(now)) {
      decisions.push({ at: now, decision });
      if (decision.kind !== "grant") continue;
      const { request } = decision;
      running.push({ id: request.id, at: now + 100, request });
    }
  }
  return decisions;
}

function grantTimes(
  decisions: ReturnType<typeof runLoad>,
  server: string,
): number[] {
  return decisions.filter(({ decision }) =>
    decision.kind === "grant" && decision.server === `${server}@1`
  ).map(({ at }) => at);
}

t.test("a server is sent requests up to its rate limit", (t) => {
  const scheduler = schedulerOf(["x"], limitsOf(["x"]));
  const sent = grantTimes(
    runLoad(scheduler, { end: 10_000, spacing: 20 }),
    "x",
  );
  t.ok(sent.length <= LIMIT * 10 + 1, `${sent.length} in 10 s`);
  t.ok(sent.length >= LIMIT * 10 * 0.9, `${sent.length} in 10 s`);
  t.end();
});

t.test("requests that a server did not run count against its rate limit", (t) => {
  const scheduler = schedulerOf(["x"], limitsOf(["x"]));
  const decisions = runLoad(
    scheduler,
    { end: 10_000, spacing: 20 },
    () => "not_run",
  );
  const sent = grantTimes(decisions, "x");
  t.ok(sent.length <= LIMIT * 10 + 1, `${sent.length} in 10 s`);
  t.end();
});

t.test("requests beyond the limit of one server are sent to another", (t) => {
  const scheduler = schedulerOf(["x", "y"], limitsOf(["x"]));
  const decisions = runLoad(scheduler, { end: 10_000, spacing: 50 });
  const refused = decisions.filter(({ decision }) =>
    decision.kind === "refuse"
  );
  t.same(refused, []);
  t.ok(grantTimes(decisions, "x").length <= LIMIT * 10 + 1);
  t.ok(grantTimes(decisions, "y").length >= 170);
  t.end();
});

t.test("requests beyond the limits of all servers are refused early", (t) => {
  // They would wait for slots that the limits keep free, until they expire.
  const scheduler = schedulerOf(["x", "y"], limitsOf(["x", "y"]));
  const decisions = runLoad(scheduler, { from: 10, end: 10_000, spacing: 20 });
  const waits: number[] = [];
  for (const { at, decision } of decisions) {
    if (decision.kind === "grant" || at < 3000) continue;
    t.ok(decision.retryAfter > 0);
    waits.push(at - decision.request.arrived);
  }
  waits.sort((one, other) => one - other);
  const median = waits[Math.floor(waits.length / 2)]!;
  t.ok(waits.length > 300, `${waits.length} refused`);
  t.ok(median <= 300, `refused after ${median} ms`);
  t.end();
});

t.test("a limit ends with a response that states none", (t) => {
  const limits = limitsOf(["x"]);
  const scheduler = schedulerOf(["x"], limits);
  runLoad(scheduler, { end: 2000, spacing: 20 });
  limits.observe("x@1", {
    perSecond: undefined,
    by: "entry",
    observedAt: 1900,
  });
  const decisions = runLoad(scheduler, { from: 2000, end: 4000, spacing: 20 });
  t.ok(grantTimes(decisions, "x").length > 80);
  t.end();
});

t.test("a group uses its fraction of a rate limit", (t) => {
  const scheduler = schedulerOf(["x"], limitsOf(["x"]));
  scheduler.setQuotas(new Map(), { room: 0.5, quota: 0.5 }, 0);
  const sent = grantTimes(
    runLoad(scheduler, { end: 10_000, spacing: 20 }),
    "x",
  );
  t.ok(sent.length <= LIMIT * 5 + 1, `${sent.length} in 10 s`);
  t.end();
});

t.test("the token of a request that reached no server is refunded", (t) => {
  const scheduler = schedulerOf(["x"], limitsOf(["x"]));
  scheduler.decide(0);
  const first = grantRequest();
  const second = grantRequest();
  scheduler.submit(first, 0);
  scheduler.decide(0);
  t.same(grantedIds(scheduler.decide(500)), [first.id]);
  scheduler.recordEnd(first.id, "connection_refused", 501);
  scheduler.submit(second, 502);
  t.same(grantedIds(scheduler.decide(760)), [second.id]);
  t.end();
});

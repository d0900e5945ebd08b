import t from "tap";
import { GroupScheduler, ServerLimits } from "../src/mod.ts";
import type { GrantDecision, GrantRequest } from "../src/mod.ts";
import { ask, granted } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };
/** Requests a second that server "x" states. */
const LIMIT = 2;
const PARTS = { room: 1, quota: 1 };

function deskOf(
  servers: readonly string[],
  limits: ServerLimits,
): GroupScheduler {
  const desk = new GroupScheduler(LEEWAY, limits);
  desk.setServers(servers.map((id) => serverRecord(id, { slots: 8 })));
  desk.setQuotas(new Map(), PARTS, 0);
  return desk;
}

function limited(servers: readonly string[]): ServerLimits {
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

/** Asks every `spacing` ms until `end`; each run takes 100 ms. */
function press(
  desk: GroupScheduler,
  options: { from?: number; end: number; spacing: number },
  end: (one: GrantRequest) => Parameters<GroupScheduler["recordEnd"]>[1] = () =>
    "answered",
): { at: number; verdict: GrantDecision }[] {
  const seen: { at: number; verdict: GrantDecision }[] = [];
  const running: { id: string; at: number; one: GrantRequest }[] = [];
  const cost = { promptTokens: 0, outputTokens: 1 };
  for (let now = options.from ?? 0; now < options.end; now += 10) {
    if (now % options.spacing === 0) {
      const lapsesAt = now + 1000;
      const one = ask({
        arrived: now,
        cost,
        latencyGoalAt: now + 300,
        expiresAt: lapsesAt,
      });
      const verdict = desk.submit(one, now);
      if (verdict !== undefined) seen.push({ at: now, verdict });
    }
    for (const { id, one } of running.filter(({ at }) => at === now)) {
      desk.recordEnd(id, end(one), now);
    }
    for (const verdict of desk.decide(now)) {
      seen.push({ at: now, verdict });
      if (verdict.kind !== "grant") continue;
      const { request: one } = verdict;
      running.push({ id: one.id, at: now + 100, one });
    }
  }
  return seen;
}

function grants(seen: ReturnType<typeof press>, server: string): number[] {
  return seen.filter(({ verdict }) =>
    verdict.kind === "grant" && verdict.server === `${server}@1`
  ).map(({ at }) => at);
}

t.test("a limited server is sent no more than it takes", (t) => {
  const desk = deskOf(["x"], limited(["x"]));
  const sent = grants(press(desk, { end: 10_000, spacing: 20 }), "x");
  t.ok(sent.length <= LIMIT * 10 + 1, `${sent.length} in 10 s`);
  t.ok(sent.length >= LIMIT * 10 * 0.9, `${sent.length} in 10 s`);
  t.end();
});

t.test("requests that a server did not run count against its limit", (t) => {
  const desk = deskOf(["x"], limited(["x"]));
  const seen = press(desk, { end: 10_000, spacing: 20 }, () => "not_run");
  const sent = grants(seen, "x");
  t.ok(sent.length <= LIMIT * 10 + 1, `${sent.length} in 10 s`);
  t.end();
});

t.test("another server takes what a limited one does not", (t) => {
  const desk = deskOf(["x", "y"], limited(["x"]));
  const seen = press(desk, { end: 10_000, spacing: 50 });
  const refused = seen.filter(({ verdict }) => verdict.kind === "refuse");
  t.same(refused, []);
  t.ok(grants(seen, "x").length <= LIMIT * 10 + 1);
  t.ok(grants(seen, "y").length >= 170);
  t.end();
});

t.test("callers out of reach of limited servers are told at once", (t) => {
  // Held for places that the limits keep empty, they were refused at their lapse.
  const desk = deskOf(["x", "y"], limited(["x", "y"]));
  const seen = press(desk, { from: 10, end: 10_000, spacing: 20 });
  const waits: number[] = [];
  for (const { at, verdict } of seen) {
    if (verdict.kind === "grant" || at < 3000) continue;
    t.ok(verdict.retryAfter > 0);
    waits.push(at - verdict.request.arrived);
  }
  waits.sort((one, other) => one - other);
  const median = waits[Math.floor(waits.length / 2)]!;
  t.ok(waits.length > 300, `${waits.length} refused`);
  t.ok(median <= 300, `refused after ${median} ms`);
  t.end();
});

t.test("a limit ends with an answer that states none", (t) => {
  const limits = limited(["x"]);
  const desk = deskOf(["x"], limits);
  press(desk, { end: 2000, spacing: 20 });
  limits.observe("x@1", {
    perSecond: undefined,
    by: "entry",
    observedAt: 1900,
  });
  const seen = press(desk, { from: 2000, end: 4000, spacing: 20 });
  t.ok(grants(seen, "x").length > 80);
  t.end();
});

t.test("a group uses its part of a limit", (t) => {
  const desk = deskOf(["x"], limited(["x"]));
  desk.setQuotas(new Map(), { room: 0.5, quota: 0.5 }, 0);
  const sent = grants(press(desk, { end: 10_000, spacing: 20 }), "x");
  t.ok(sent.length <= LIMIT * 5 + 1, `${sent.length} in 10 s`);
  t.end();
});

t.test("a request that reached no server gives its token back", (t) => {
  const desk = deskOf(["x"], limited(["x"]));
  desk.decide(0);
  const first = ask();
  const second = ask();
  desk.submit(first, 0);
  desk.decide(0);
  t.same(granted(desk.decide(500)), [first.id]);
  desk.recordEnd(first.id, "connection_refused", 501);
  desk.submit(second, 502);
  t.same(granted(desk.decide(760)), [second.id]);
  t.end();
});

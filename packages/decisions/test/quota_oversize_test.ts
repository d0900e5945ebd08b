import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { ask } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";
import { largestWindow } from "./maximum_in_window.ts";
import type { Granted } from "./maximum_in_window.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 500 };
const QUOTA = { ratePerSecond: 1000, burst: 1000 };
const ACCEPTED = (8 * QUOTA.ratePerSecond + QUOTA.burst) * 1.1 + LEEWAY.slack;
/** Milliseconds: a quarter of the longest deadline of callers. */
const PATIENCE = 3750;
/** Groups of a divided fleet. */
const GROUPS = 5;
/** Tokens: five times the burst of one group's part. */
const OVERSIZE = 1000;

function deskWithPart(part: number): GroupScheduler {
  const desk = new GroupScheduler(LEEWAY);
  desk.setServers([serverRecord("x", { slots: 200 })]);
  const quotas = new Map([["firm", QUOTA]]);
  desk.setQuotas(quotas, { room: 0, quota: 0 }, -20_000);
  desk.setQuotas(quotas, { room: 1, quota: part }, -20_000);
  return desk;
}

function askOnce(
  desk: GroupScheduler,
  grants: Granted[],
  one: { charge: number; tierRank?: number },
  now: number,
): void {
  desk.submit(ask({ ...one, arrived: now, expiresAt: now + PATIENCE }), now);
  for (const { kind, request: ask } of desk.decide(now)) {
    if (kind !== "grant") continue;
    grants.push({ at: now, charge: ask.charge });
    desk.recordEnd(ask.id, "answered", now);
  }
}

t.test("requests above the burst of a part stay within what is accepted", (t) => {
  const desks = Array.from({ length: GROUPS }, () => deskWithPart(1 / GROUPS));
  const grants: Granted[] = [];
  for (let now = 0; now < 16_000; now += 20) {
    const oversize = now % 7000 > 6000;
    for (const desk of desks) {
      if (oversize) askOnce(desk, grants, { charge: OVERSIZE }, now);
      else if (now % 7000 < 5000) askOnce(desk, grants, { charge: 50 }, now);
    }
  }
  const most = largestWindow(grants, LEEWAY.window);
  t.ok(most <= ACCEPTED, `${most} tokens, ${ACCEPTED} are accepted`);
  t.ok(most > ACCEPTED / 2, `${most} tokens`);
  t.end();
});

t.test("a request above the burst is served although small ones press", (t) => {
  for (const part of [1, 0.5]) {
    const desk = deskWithPart(part);
    const grants: Granted[] = [];
    for (let now = 0; now < 16_000; now += 20) {
      askOnce(desk, grants, { charge: 40, tierRank: 0 }, now);
      if (now % 1000 === 500) {
        askOnce(desk, grants, { charge: 1200, tierRank: 1 }, now);
      }
    }
    const oversize = grants.filter(({ charge }) => charge === 1200);
    t.ok(oversize.length >= 1, `${oversize.length} with a part of ${part}`);
    const most = largestWindow(grants, LEEWAY.window);
    t.ok(most <= ACCEPTED * part, `${most} tokens with a part of ${part}`);
  }
  t.end();
});

import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";
import { maximumInWindow } from "./maximum_in_window.ts";
import type { Grant } from "./maximum_in_window.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 500 };
const QUOTA = { ratePerSecond: 1000, burst: 1000 };
/** Tokens that are accepted in a window. */
const ACCEPTED = (8 * QUOTA.ratePerSecond + QUOTA.burst) * 1.1 + LEEWAY.slack;
/** Maximum wait in milliseconds: a quarter of callers' longest deadline. */
const MAXIMUM_WAIT = 3750;
/** Number of groups of a divided fleet. */
const GROUPS = 5;
/** Tokens of a request: five times the burst of one group's fraction. */
const OVERSIZE = 1000;

function schedulerWithFraction(fraction: number): GroupScheduler {
  const scheduler = new GroupScheduler(LEEWAY);
  scheduler.setServers([serverRecord("x", { slots: 200 })], 0);
  const quotas = new Map([["firm", QUOTA]]);
  scheduler.setQuotas(quotas, { room: 0, quota: 0 }, -20_000);
  scheduler.setQuotas(quotas, { room: 1, quota: fraction }, -20_000);
  return scheduler;
}

function submitOnce(
  scheduler: GroupScheduler,
  grants: Grant[],
  changes: { charge: number; tierRank?: number },
  now: number,
): void {
  scheduler.submit(
    grantRequest({ ...changes, arrived: now, expiresAt: now + MAXIMUM_WAIT }),
    now,
  );
  for (const { kind, request } of scheduler.decide(now)) {
    if (kind !== "grant") continue;
    grants.push({ at: now, charge: request.charge });
    scheduler.recordEnd(request.id, "answered", now);
  }
}

t.test("requests larger than the burst stay within the accepted amount", (t) => {
  const schedulers = Array.from(
    { length: GROUPS },
    () => schedulerWithFraction(1 / GROUPS),
  );
  const grants: Grant[] = [];
  for (let now = 0; now < 16_000; now += 20) {
    const isOversize = now % 7000 > 6000;
    for (const scheduler of schedulers) {
      if (isOversize) submitOnce(scheduler, grants, { charge: OVERSIZE }, now);
      else if (now % 7000 < 5000) {
        submitOnce(scheduler, grants, { charge: 50 }, now);
      }
    }
  }
  const maximum = maximumInWindow(grants, LEEWAY.window);
  t.ok(maximum <= ACCEPTED, `${maximum} tokens, ${ACCEPTED} are accepted`);
  t.ok(maximum > ACCEPTED / 2, `${maximum} tokens`);
  t.end();
});

t.test("a request larger than the burst is served in spite of many small ones", (t) => {
  for (const fraction of [1, 0.5]) {
    const scheduler = schedulerWithFraction(fraction);
    const grants: Grant[] = [];
    for (let now = 0; now < 16_000; now += 20) {
      submitOnce(scheduler, grants, { charge: 40, tierRank: 0 }, now);
      if (now % 1000 === 500) {
        submitOnce(scheduler, grants, { charge: 1200, tierRank: 1 }, now);
      }
    }
    const oversize = grants.filter(({ charge }) => charge === 1200);
    t.ok(
      oversize.length >= 1,
      `${oversize.length} with a fraction of ${fraction}`,
    );
    const maximum = maximumInWindow(grants, LEEWAY.window);
    t.ok(
      maximum <= ACCEPTED * fraction,
      `${maximum} tokens with a fraction of ${fraction}`,
    );
  }
  t.end();
});

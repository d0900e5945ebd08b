import fc from "fast-check";
import t from "tap";
import { ServerLimits, StatedRateLimiter } from "../src/mod.ts";
import type { LimitObservation } from "../src/mod.ts";

function observed(
  perSecond: number | undefined,
  observedAt: number,
): LimitObservation {
  return { perSecond, by: "entry", observedAt };
}

t.test("the newer observation counts", (t) => {
  const limits = new ServerLimits();
  t.equal(limits.observe("s@1", observed(2, 100)), "changed");
  t.equal(limits.observe("s@1", observed(3, 90)), "nothing");
  t.equal(limits.find("s@1")?.perSecond, 2);
  t.equal(limits.observe("s@1", observed(2, 110)), "confirmed");
  t.equal(limits.observe("s@1", observed(1, 120)), "changed");
  t.equal(limits.find("s@1")?.perSecond, 1);
  t.equal(limits.find("s@2"), undefined);
  t.end();
});

t.test("a response that was already on its way does not end a limit", (t) => {
  const limits = new ServerLimits();
  limits.observe("s@1", observed(2, 100));
  t.equal(limits.observe("s@1", observed(undefined, 60)), "nothing");
  t.equal(limits.find("s@1")?.perSecond, 2);
  t.equal(limits.observe("s@1", observed(undefined, 130)), "changed");
  t.equal(limits.find("s@1"), undefined);
  t.same([...limits.activeLimits()], []);
  t.end();
});

t.test("an older observation does not reinstate a limit that has ended", (t) => {
  const limits = new ServerLimits();
  limits.observe("s@1", observed(2, 100));
  limits.observe("s@1", observed(undefined, 130));
  t.equal(limits.observe("s@1", observed(2, 120)), "nothing");
  t.equal(limits.find("s@1"), undefined);
  t.equal(limits.observe("s@1", observed(2, 140)), "changed");
  t.end();
});

t.test("observations of servers without a limit are not stored", (t) => {
  const limits = new ServerLimits();
  t.equal(limits.observe("s@1", observed(undefined, 10)), "nothing");
  t.equal(limits.observe("s@1", observed(2, 5)), "changed");
  t.end();
});

/** Milliseconds between two decisions of a granting entry. */
const DECISION_INTERVAL = 10;

/**
 * Sends as often as allowed, and returns the times. At each of `takeOvers`
 * another entry starts to grant.
 */
function sendTimes(perSecond: number, takeOvers: readonly number[]): number[] {
  const sent: number[] = [];
  let limiter = new StatedRateLimiter(0);
  for (let now = 0; now < 12_000; now += DECISION_INTERVAL) {
    if (takeOvers.some((at) => at >= now && at < now + DECISION_INTERVAL)) {
      limiter = new StatedRateLimiter(now);
    }
    limiter.configure(perSecond, 1, now);
    while (limiter.allows(now)) {
      limiter.take(now);
      sent.push(now);
    }
  }
  return sent;
}

/** A window of 4 s, in milliseconds. */
const WINDOW = 4000;
/** Accepted in a window: half more than the limit, and five requests. */
function acceptedRequests(perSecond: number): number {
  return perSecond * WINDOW / 1000 * 1.5 + 5;
}

t.test("take-overs do not exceed what a server accepts in any window", (t) => {
  const limit = fc.double({ min: 0, max: 60, noNaN: true });
  const times = fc.array(fc.integer({ min: 0, max: 12_000 }), {
    maxLength: 12,
  });
  fc.assert(
    fc.property(limit, times, (perSecond, takeOvers) => {
      const sent = sendTimes(perSecond, takeOvers);
      for (const from of sent) {
        const inWindow = sent.filter((at) => at >= from && at < from + WINDOW);
        if (inWindow.length > acceptedRequests(perSecond)) return false;
      }
      return true;
    }),
    { numRuns: 200, seed: 28 },
  );
  t.end();
});

t.test("a limited server is sent most of its limit", (t) => {
  for (const perSecond of [0.5, 1, 2.4, 20, 300]) {
    const fraction = sendTimes(perSecond, []).length / (perSecond * 12);
    t.ok(fraction > 0.8, `${fraction} of ${perSecond} per second`);
    t.ok(fraction <= 1.01, `${fraction} of ${perSecond} per second`);
  }
  t.end();
});

t.test("under a limit of zero single requests are sent to detect its end", (t) => {
  const sent = sendTimes(0, []);
  t.ok(sent.length >= 2, `${sent.length} in 12 s`);
  t.ok(sent.length <= 3, `${sent.length} in 12 s`);
  t.end();
});

t.test("a lowered limit applies at once", (t) => {
  const limiter = new StatedRateLimiter(0);
  limiter.configure(100, 1, 0);
  t.ok(limiter.allows(1000));
  limiter.configure(1, 1, 1000);
  limiter.take(1000);
  t.notOk(limiter.allows(1100));
  t.ok(limiter.allows(2000));
  t.end();
});

t.test("a group without a fraction of the limit sends nothing", (t) => {
  const limiter = new StatedRateLimiter(0);
  limiter.configure(10, 1, 0);
  t.ok(limiter.allows(1000));
  limiter.configure(10, 0, 1000);
  t.notOk(limiter.allows(5000));
  t.end();
});

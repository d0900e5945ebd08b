import fc from "fast-check";
import t from "tap";
import { LimitedPace, ServerLimits } from "../src/mod.ts";
import type { LimitObservation } from "../src/mod.ts";

function observed(
  perSecond: number | undefined,
  observedAt: number,
): LimitObservation {
  return { perSecond, by: "entry", observedAt: observedAt };
}

t.test("the newer observation holds", (t) => {
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

t.test("an answer that was under way does not end a limit", (t) => {
  const limits = new ServerLimits();
  limits.observe("s@1", observed(2, 100));
  t.equal(limits.observe("s@1", observed(undefined, 60)), "nothing");
  t.equal(limits.find("s@1")?.perSecond, 2);
  t.equal(limits.observe("s@1", observed(undefined, 130)), "changed");
  t.equal(limits.find("s@1"), undefined);
  t.same([...limits.activeLimits()], []);
  t.end();
});

t.test("a late observation does not revive a limit that ended", (t) => {
  const limits = new ServerLimits();
  limits.observe("s@1", observed(2, 100));
  limits.observe("s@1", observed(undefined, 130));
  t.equal(limits.observe("s@1", observed(2, 120)), "nothing");
  t.equal(limits.find("s@1"), undefined);
  t.equal(limits.observe("s@1", observed(2, 140)), "changed");
  t.end();
});

t.test("servers without a limit are not remembered", (t) => {
  const limits = new ServerLimits();
  t.equal(limits.observe("s@1", observed(undefined, 10)), "nothing");
  t.equal(limits.observe("s@1", observed(2, 5)), "changed");
  t.end();
});

/** Milliseconds between two looks of a granting entry. */
const LOOK_EVERY = 10;

/** Sends as often as allowed; `takeOvers`: another entry grants from then on. */
function sends(perSecond: number, takeOvers: readonly number[]): number[] {
  const sent: number[] = [];
  let pace = new LimitedPace(0);
  for (let now = 0; now < 12_000; now += LOOK_EVERY) {
    if (takeOvers.some((at) => at >= now && at < now + LOOK_EVERY)) {
      pace = new LimitedPace(now);
    }
    pace.configure(perSecond, 1, now);
    while (pace.allows(now)) {
      pace.take(now);
      sent.push(now);
    }
  }
  return sent;
}

/** By the stated rule: half more than the limit and five, in 4 s. */
const WINDOW = 4000;
function acceptedOf(perSecond: number): number {
  return perSecond * WINDOW / 1000 * 1.5 + 5;
}

t.test("no window passes what a server takes, whoever grants", (t) => {
  const limit = fc.double({ min: 0, max: 60, noNaN: true });
  const moments = fc.array(fc.integer({ min: 0, max: 12_000 }), {
    maxLength: 12,
  });
  fc.assert(
    fc.property(limit, moments, (perSecond, takeOvers) => {
      const sent = sends(perSecond, takeOvers);
      for (const from of sent) {
        const inside = sent.filter((at) => at >= from && at < from + WINDOW);
        if (inside.length > acceptedOf(perSecond)) return false;
      }
      return true;
    }),
    { numRuns: 200, seed: 28 },
  );
  t.end();
});

t.test("a limited server gets what it takes", (t) => {
  for (const perSecond of [0.5, 1, 2.4, 20, 300]) {
    const part = sends(perSecond, []).length / (perSecond * 12);
    t.ok(part > 0.8, `${part} of ${perSecond} a second`);
    t.ok(part <= 1.01, `${part} of ${perSecond} a second`);
  }
  t.end();
});

t.test("a limit of zero still lets a request find out its end", (t) => {
  const sent = sends(0, []);
  t.ok(sent.length >= 2, `${sent.length} in 12 s`);
  t.ok(sent.length <= 3, `${sent.length} in 12 s`);
  t.end();
});

t.test("a lowered limit binds at once", (t) => {
  const pace = new LimitedPace(0);
  pace.configure(100, 1, 0);
  t.ok(pace.allows(1000));
  pace.configure(1, 1, 1000);
  pace.take(1000);
  t.notOk(pace.allows(1100));
  t.ok(pace.allows(2000));
  t.end();
});

t.test("without a part of the limit nothing is sent", (t) => {
  const pace = new LimitedPace(0);
  pace.configure(10, 1, 0);
  t.ok(pace.allows(1000));
  pace.configure(10, 0, 1000);
  t.notOk(pace.allows(5000));
  t.end();
});

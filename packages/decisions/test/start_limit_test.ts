import fc from "fast-check";
import t from "tap";
import { GroupScheduler, StartLimit, StartRateLimiter } from "../src/mod.ts";
import { grantedIds, grantRequest } from "./grant_requests.ts";
import { maximumInWindow } from "./maximum_in_window.ts";
import { serverRecord } from "./server_record.ts";

/** Milliseconds between two decisions of a granting entry. */
const STEP = 10;
const SECOND = 1000;
const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };

/** Sends as often as allowed; returns the times. */
function sendAll(
  limiter: StartRateLimiter,
  accepted: number,
  { fraction, from, until }: { fraction: number; from: number; until: number },
): { at: number; charge: number }[] {
  const sent: { at: number; charge: number }[] = [];
  for (let now = from; now < until; now += STEP) {
    limiter.configure(accepted, fraction, now);
    while (limiter.allows(now)) {
      limiter.take(now);
      sent.push({ at: now, charge: 1 });
    }
  }
  return sent;
}

t.test("groups that can't reach each other send no more than a server accepts", (t) => {
  // Guards against rounding up the part of each group.
  const accepted = fc.integer({ min: 1, max: 60 });
  const parts = fc.array(fc.integer({ min: 1, max: 30 }), {
    minLength: 1,
    maxLength: 40,
  });
  fc.assert(
    fc.property(accepted, parts, (accepted, parts) => {
      const total = parts.reduce((sum, part) => sum + part, 0);
      const sent = parts.flatMap((part) =>
        sendAll(new StartRateLimiter(0), accepted, {
          fraction: part / total,
          from: 0,
          until: 4 * SECOND,
        })
      );
      return maximumInWindow(sent, SECOND) <= accepted;
    }),
    { numRuns: 200, seed: 46 },
  );
  t.end();
});

t.test("a new granting entry and its predecessor send no more than a server accepts", (t) => {
  // Guards against a successor that does not know the last second's requests.
  const accepted = fc.integer({ min: 1, max: 60 });
  const takeOvers = fc.array(fc.integer({ min: 0, max: 400 }), {
    minLength: 1,
    maxLength: 10,
  });
  fc.assert(
    fc.property(accepted, takeOvers, (accepted, times) => {
      const starts = [...times.map((time) => time * STEP), 0]
        .sort((one, other) => one - other);
      const sent = starts.flatMap((from, index) =>
        sendAll(new StartRateLimiter(from), accepted, {
          fraction: 1,
          from,
          until: starts[index + 1] ?? 5 * SECOND,
        })
      );
      return maximumInWindow(sent, SECOND) <= accepted;
    }),
    { numRuns: 200, seed: 46 },
  );
  t.end();
});

t.test("entries that start again together send no more than a server accepts", (t) => {
  // Guards against tokens that each new granting entry of a group adds.
  const accepted = fc.integer({ min: 1, max: 60 });
  const takeOvers = fc.array(fc.integer({ min: 1, max: 99 }), {
    minLength: 1,
    maxLength: 4,
  });
  fc.assert(
    fc.property(accepted, takeOvers, (accepted, times) => {
      const starts = times.map((time) => time * STEP)
        .sort((one, other) => one - other);
      const before = sendAll(new StartRateLimiter(0), accepted, {
        fraction: 1,
        from: 0,
        until: starts[0]!,
      });
      const sent = starts.flatMap((from, index) =>
        sendAll(StartRateLimiter.atFreshStart(accepted, from), accepted, {
          fraction: 1,
          from,
          until: starts[index + 1] ?? 5 * SECOND,
        })
      );
      return maximumInWindow([...before, ...sent], SECOND) <= accepted;
    }),
    { numRuns: 200, seed: 46 },
  );
  t.end();
});

t.test("an entry that has just started grants each server a request at once", (t) => {
  // Guards against a pause at each new granting entry after a restart of all.
  const names = ["x", "y", "z"];
  const grantsOf = (startedAt: number) => {
    const scheduler = new GroupScheduler(LEEWAY, undefined, undefined, {
      startedAt,
    });
    scheduler.setServers(names.map((id) => serverRecord(id)), 10_000);
    scheduler.setStartLimits(new Map([["assistant", 29]]));
    for (let count = 0; count < 6; count++) {
      scheduler.submit(
        grantRequest({ arrived: 10_000, expiresAt: 12_000 }),
        10_000,
      );
    }
    return grantedIds(scheduler.decide(10_000)).length;
  };
  t.equal(grantsOf(9500), 3);
  t.equal(grantsOf(1000), 0);
  t.end();
});

t.test("a limited server still gets over half of what it accepts", (t) => {
  for (const accepted of [5, 12, 29, 300]) {
    const sent = sendAll(new StartRateLimiter(0), accepted, {
      fraction: 1,
      from: 0,
      until: 10 * SECOND,
    });
    const perSecond = sent.length / 10;
    t.ok(perSecond > accepted / 2, `${perSecond} of ${accepted}`);
  }
  t.end();
});

/** Grants of a second with many requests that end after `runTime`. */
function grantsInWindow(
  options: { runTime: number; coldUntil?: number },
): number {
  const scheduler = new GroupScheduler(LEEWAY);
  const { runTime, coldUntil } = options;
  scheduler.setServers([serverRecord("s", { slots: 8, coldUntil })], 0);
  scheduler.setStartLimits(new Map([["assistant", 29]]));
  const grants: { at: number; charge: number }[] = [];
  const running: { id: string; at: number }[] = [];
  const cost = { promptTokens: 0, outputTokens: 1 };
  for (let now = 0; now < 6 * SECOND; now += STEP) {
    for (const run of running.filter(({ at }) => at === now)) {
      scheduler.recordResponseStart(run.id, runTime, now);
      scheduler.recordStreamTiming(run.id, {
        tokens: 1,
        measured: runTime,
        pausePart: 0,
      }, now);
      scheduler.recordEnd(run.id, "answered", now);
    }
    for (let count = 0; count < 4; count++) {
      scheduler.submit(
        grantRequest({
          cost,
          arrived: now,
          latencyGoalAt: now + 100,
          expiresAt: now + 200,
        }),
        now,
      );
    }
    for (const id of grantedIds(scheduler.decide(now))) {
      grants.push({ at: now, charge: 1 });
      running.push({ id, at: now + runTime });
    }
  }
  return maximumInWindow(grants, SECOND);
}

t.test("a server that may turn cold unseen gets no more than it accepts", (t) => {
  // Guards against pacing only servers whose records say that they are cold.
  const most = grantsInWindow({ runTime: 400 });
  t.ok(most <= 29, `${most} in a second`);
  t.ok(most > 15, `${most} in a second`);
  t.end();
});

t.test("fast servers are limited only while their records say that they are cold", (t) => {
  // Guards against losing most of the capacity of a service of short requests.
  const warm = grantsInWindow({ runTime: 20 });
  t.ok(warm > 100, `${warm} in a second`);
  const cold = grantsInWindow({ runTime: 20, coldUntil: 60 * SECOND });
  t.ok(cold <= 29, `${cold} in a second`);
  t.end();
});

t.test("a service does not alternate between limiting all servers and cold ones", (t) => {
  const limit = new StartLimit();
  limit.set(29);
  const outcomes = [150, 200, 220, 255, 460].map((runTime) => {
    limit.adapt(8, runTime);
    return limit.scope;
  });
  t.same(outcomes, ["cold", "cold", "cold", "cold", "all"]);
  t.end();
});

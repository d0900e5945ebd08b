import fc from "fast-check";
import t from "tap";
import { WaitingQueue } from "../src/mod.ts";
import type { Cost, WaitingReservation } from "../src/mod.ts";
import { waitingReservation } from "./waiting_reservation.ts";

const SEED = { seed: 4 };
const admitAll = () => true;

function cost(tokens: number): Cost {
  return { promptTokens: 0, outputTokens: tokens };
}

// Guards against a full queue refusing every new arrival, whatever its tier.
t.test("a full queue evicts the newest reservation of its lowest tier", (t) => {
  const queue = new WaitingQueue({ capacity: 2 });
  queue.offer(waitingReservation("old tag", { tierRank: 2 }), 0);
  queue.offer(waitingReservation("new tag", { tierRank: 2 }), 0);
  const reply = queue.offer(waitingReservation("reply"), 0);
  t.match(reply, { queued: true, evicted: [{ id: "new tag" }] });
  t.match(queue.offer(waitingReservation("late tag", { tierRank: 2 }), 0), {
    queued: false,
    reason: "queue_full",
  });
  t.equal(queue.lowestTierRank(), 2);
  t.end();
});

// Guards against one organisation filling the queue with a thousand requests.
t.test("a flooding organisation does not shut out others", (t) => {
  const queue = new WaitingQueue({ capacity: 100 });
  for (let index = 0; index < 1000; index += 1) {
    queue.offer(waitingReservation(`hot ${index}`, { organisation: "hot" }), 0);
  }
  const offer = queue.offer(
    waitingReservation("small", { organisation: "small" }),
    0,
  );
  t.match(offer, { queued: true, evicted: [{ id: "hot 99" }] });
  queue.take(0, admitAll);
  t.equal(queue.take(0, admitAll)?.id, "small");
  t.end();
});

// Guards against an engine idling because the quote at the head does not fit.
t.test("a long reservation that does not fit is skipped", (t) => {
  const queue = new WaitingQueue({ capacity: 10 });
  queue.offer(waitingReservation("quote", { cost: cost(5000) }), 0);
  queue.offer(waitingReservation("identification", { cost: cost(50) }), 0);
  queue.offer(waitingReservation("tag", { tierRank: 3, cost: cost(40) }), 0);
  const admitsShort = ({ cost }: WaitingReservation) => cost.outputTokens < 100;
  t.equal(queue.take(0, admitsShort)?.id, "identification");
  t.equal(queue.take(0, admitsShort)?.id, "tag");
  t.equal(queue.take(0, admitAll)?.id, "quote");
  t.end();
});

t.test("a reservation that misses its deadline is refused or expires", (t) => {
  const queue = new WaitingQueue({
    capacity: 10,
    serviceTimeOf: (cost) => cost.outputTokens,
  });
  const late = waitingReservation("late", { cost: cost(100), deadline: 99 });
  t.match(queue.offer(late, 0), { queued: false, reason: "deadline" });
  queue.offer(
    waitingReservation("quote", { cost: cost(100), deadline: 150 }),
    0,
  );
  t.same(queue.expire(50), []);
  t.equal(queue.take(51, admitAll), undefined);
  t.match(queue.expire(51), [{ id: "quote" }]);
  t.same(queue.expire(51), []);
  t.end();
});

// Guards against refusing all work for an estimate that only work can correct.
t.test("an outdated service time estimate is overridden", (t) => {
  let serviceTime = 100_000;
  const queue = new WaitingQueue({
    capacity: 10,
    serviceTimeOf: () => serviceTime,
  });
  const offerAt = (now: number) => {
    return queue.offer(
      waitingReservation(`${now}`, { deadline: now + 5000 }),
      now,
    ).queued;
  };
  t.equal(offerAt(0), false);
  t.equal(offerAt(10_001), true);
  t.equal(offerAt(10_002), false);
  t.equal(queue.take(10_003, admitAll)?.id, "10001");
  serviceTime = 10;
  t.equal(offerAt(10_004), true);
  serviceTime = 6000;
  t.equal(queue.take(10_005, admitAll), undefined);
  t.match(queue.expire(10_005), [{ id: "10004" }]);
  t.end();
});

t.test("an unused grant is not charged to its organisation", (t) => {
  const queue = new WaitingQueue({ capacity: 10 });
  queue.offer(
    waitingReservation("a1", { organisation: "a", cost: cost(7) }),
    0,
  );
  queue.offer(waitingReservation("a2", { organisation: "a" }), 0);
  queue.offer(waitingReservation("b1", { organisation: "b" }), 0);
  queue.offer(waitingReservation("b2", { organisation: "b" }), 0);
  const lapsed = queue.take(0, admitAll);
  t.equal(lapsed?.id, "a1");
  queue.correctCharge(lapsed as WaitingReservation, cost(0));
  const order = [1, 2, 3].map(() => queue.take(0, admitAll)?.id);
  t.same(order, ["b1", "a2", "b2"]);
  t.end();
});

const arrival = fc.record({
  tierRank: fc.nat(3),
  organisation: fc.constantFrom("a", "b", "c", "d"),
  cost: fc.integer({ min: 1, max: 5000 }).map(cost),
  remaining: fc.integer({ min: -5, max: 200 }),
  suspect: fc.boolean(),
});
const step = fc.oneof(
  { weight: 5, arbitrary: arrival.map((offer) => ({ offer })) },
  {
    weight: 2,
    arbitrary: fc.record({ takeUpTo: fc.integer({ min: 0, max: 6000 }) }),
  },
  { weight: 1, arbitrary: fc.record({ withdraw: fc.nat(200) }) },
  { weight: 1, arbitrary: fc.constant({ expire: true as const }) },
);

t.test("every reservation leaves the queue in exactly one way", (t) => {
  const property = fc.property(
    fc.array(step, { minLength: 50, maxLength: 300 }),
    (steps) => {
      const queue = new WaitingQueue({ capacity: 20 });
      const endOf = new Map<string, string>();
      let offered = 0;
      const recordEnd = (id: string, end: string) => {
        if (endOf.has(id)) {
          throw new Error(`${id}: ${end} after ${endOf.get(id)}`);
        }
        endOf.set(id, end);
      };
      for (const [now, step] of steps.entries()) {
        if ("offer" in step) {
          const id = String(offered);
          offered += 1;
          const { remaining, ...fields } = step.offer;
          const arrival = waitingReservation(id, {
            ...fields,
            deadline: now + remaining,
          });
          const offer = queue.offer(arrival, now);
          if (offer.queued) {
            for (const victim of offer.evicted) {
              recordEnd(victim.id, "evicted");
              if (victim.tierRank < arrival.tierRank) {
                throw new Error("evicted a higher tier");
              }
            }
          } else {
            recordEnd(id, "refused");
          }
        } else if ("takeUpTo" in step) {
          const taken = queue.take(
            now,
            ({ cost }) => cost.outputTokens <= step.takeUpTo,
          );
          if (taken !== undefined) {
            recordEnd(taken.id, "taken");
          }
        } else if ("withdraw" in step) {
          if (queue.withdraw(String(step.withdraw))) {
            recordEnd(String(step.withdraw), "withdrawn");
          }
        } else {
          queue.expire(now).forEach(({ id }) => recordEnd(id, "expired"));
        }
      }
      queue.expire(steps.length).forEach(({ id }) => recordEnd(id, "expired"));
      for (let remaining = queue.size; remaining > 0; remaining -= 1) {
        recordEnd(queue.take(steps.length, admitAll)?.id ?? "none", "taken");
      }
      return endOf.size === offered && queue.size === 0;
    },
  );
  fc.assert(property, { ...SEED, numRuns: 200 });
  t.pass();
  t.end();
});

t.test("higher tiers are served first and evicted last", (t) => {
  const property = fc.property(
    fc.array(arrival, { minLength: 30, maxLength: 100 }),
    (arrivals) => {
      const queue = new WaitingQueue({ capacity: 20 });
      const queuedRanks: number[] = [];
      for (const [id, fields] of arrivals.entries()) {
        const offer = queue.offer(
          waitingReservation(String(id), { ...fields, deadline: 1000 }),
          0,
        );
        const lowest = Math.max(...queuedRanks);
        if (!offer.queued && lowest > fields.tierRank) {
          return false;
        }
        for (const victim of offer.queued ? offer.evicted : []) {
          if (victim.tierRank !== lowest) {
            return false;
          }
          queuedRanks.splice(queuedRanks.indexOf(victim.tierRank), 1);
        }
        if (offer.queued) {
          queuedRanks.push(fields.tierRank);
        }
      }
      const served = queuedRanks.map(() =>
        queue.take(0, admitAll)?.tierRank ?? -1
      );
      return served.every((rank, index) =>
        index === 0 || rank >= (served[index - 1] ?? 0)
      );
    },
  );
  fc.assert(property, { ...SEED, numRuns: 200 });
  t.pass();
  t.end();
});

t.test("served work per weight differs by one largest request at most", (t) => {
  const largest = 64;
  const flows = fc.array(fc.integer({ min: 1, max: largest }), {
    minLength: 40,
    maxLength: 40,
  });
  const weight = fc.integer({ min: 1, max: 8 });
  const property = fc.property(
    fc.tuple(flows, flows, flows),
    fc.tuple(weight, weight, weight),
    (sizes, weights) => {
      const queue = new WaitingQueue({ capacity: 1000 });
      const remaining = [40, 40, 40];
      const served = [0, 0, 0];
      for (const [flow, costs] of sizes.entries()) {
        for (const [index, size] of costs.entries()) {
          const id = `${flow} ${index}`;
          const fields = {
            organisation: String(flow),
            weight: weights[flow] ?? 1,
          };
          queue.offer(
            waitingReservation(id, { ...fields, cost: cost(size) }),
            0,
          );
        }
      }
      while (remaining.every((count) => count > 0)) {
        const taken = queue.take(0, admitAll);
        const flow = Number(taken?.organisation);
        remaining[flow] = (remaining[flow] ?? 0) - 1;
        served[flow] = (served[flow] ?? 0) + (taken?.cost.outputTokens ?? 0);
        for (const [one, work] of served.entries()) {
          for (const [other, otherWork] of served.entries()) {
            const own = weights[one] ?? 1;
            const others = weights[other] ?? 1;
            if (
              work / own - otherWork / others > largest / own + largest / others
            ) {
              return false;
            }
          }
        }
      }
      return true;
    },
  );
  fc.assert(property, { ...SEED, numRuns: 100 });
  t.pass();
  t.end();
});

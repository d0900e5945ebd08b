import t from "tap";
import { CallBudget, callBudgetOptions } from "../src/mod.ts";

t.test("allows a burst, then calls at the sustained rate", (t) => {
  const budget = new CallBudget({ perSecond: 2, burst: 3 });
  const burst = [0, 0, 0, 0].map((now) => budget.tryTake(now));
  t.same(burst, [true, true, true, false]);
  t.notOk(budget.tryTake(499));
  t.ok(budget.tryTake(500));
  t.equal(budget.refusedCalls, 2);
  t.end();
});

t.test("allows no additional calls when the clock steps back", (t) => {
  const budget = new CallBudget({ perSecond: 1, burst: 1 });
  t.ok(budget.tryTake(10_000));
  t.notOk(budget.tryTake(0));
  t.notOk(budget.tryTake(10_000));
  t.ok(budget.tryTake(11_000));
  t.end();
});

t.test("delays later calls for those charged without waiting", (t) => {
  const budget = new CallBudget({ perSecond: 10, burst: 1 });
  budget.charge(0, 3);
  t.equal(budget.timeUntilAllowed(0), 300);
  t.notOk(budget.tryTake(299));
  t.equal(budget.timeUntilAllowed(299), 1);
  t.ok(budget.tryTake(300));
  t.end();
});

t.test("keeps the sum of a fleet's rates within the service's rate", (t) => {
  for (const fleetSize of [1, 20, 930]) {
    const { perSecond } = callBudgetOptions(fleetSize);
    t.ok(perSecond >= 1 && fleetSize * perSecond <= 1000);
  }
  t.end();
});

import t from "tap";
import { CallBudget, callBudgetOptions } from "../src/mod.ts";

t.test("lets a burst through, then the rate", (t) => {
  const budget = new CallBudget({ perSecond: 2, burst: 3 });
  const burst = [0, 0, 0, 0].map((now) => budget.take(now));
  t.same(burst, [true, true, true, false]);
  t.notOk(budget.take(499));
  t.ok(budget.take(500));
  t.equal(budget.refused, 2);
  t.end();
});

t.test("a clock that steps back gives no calls away", (t) => {
  const budget = new CallBudget({ perSecond: 1, burst: 1 });
  t.ok(budget.take(10_000));
  t.notOk(budget.take(0));
  t.notOk(budget.take(10_000));
  t.ok(budget.take(11_000));
  t.end();
});

t.test("calls that could not wait are paid for afterwards", (t) => {
  const budget = new CallBudget({ perSecond: 10, burst: 1 });
  budget.charge(0, 3);
  t.equal(budget.waitFor(0), 300);
  t.notOk(budget.take(299));
  t.equal(budget.waitFor(299), 1);
  t.ok(budget.take(300));
  t.end();
});

t.test("a fleet's shares fit the service", (t) => {
  for (const fleetSize of [1, 20, 930]) {
    const { perSecond } = callBudgetOptions(fleetSize);
    t.ok(perSecond >= 1 && fleetSize * perSecond <= 1000);
  }
  t.end();
});

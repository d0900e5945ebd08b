import fc from "fast-check";
import t from "tap";
import { backoff, RetryBudget } from "../src/mod.ts";

t.test("the retries in any time window stay within the budget", (t) => {
  // When every sidecar refuses, unlimited retries would keep the service down.
  const steps = fc.array(
    fc.record({
      wait: fc.integer({ min: 0, max: 400 }),
      kind: fc.constantFrom("allow", "success"),
    }),
    { minLength: 1, maxLength: 300 },
  );
  fc.assert(
    fc.property(steps, (steps) => {
      const [retriesPerSuccess, refillPerSecond, capacity] = [0.1, 2, 5];
      const budget = new RetryBudget({
        retriesPerSuccess,
        refillPerSecond,
        capacity,
      });
      const events: { now: number; retries: number; successes: number }[] = [];
      let now = 0;
      for (const step of steps) {
        now += step.wait;
        const allowed = step.kind === "allow" && budget.tryTake(now);
        if (step.kind === "success") budget.recordSuccess(now);
        const successes = step.kind === "success" ? 1 : 0;
        events.push({ now, retries: allowed ? 1 : 0, successes });
      }
      return events.every((first, start) => {
        let retries = 0;
        let successes = 0;
        return events.slice(start).every((event) => {
          retries += event.retries;
          successes += event.successes;
          const elapsed = (event.now - first.now) / 1000;
          const bound = capacity + retriesPerSuccess * successes +
            refillPerSecond * elapsed;
          return retries <= bound + 1e-6;
        });
      });
    }),
    { seed: 20261202, numRuns: 200 },
  );
  t.pass("no counterexample");
  t.end();
});

t.test("successes refill an exhausted budget", (t) => {
  const budget = new RetryBudget({ capacity: 1, refillPerSecond: 0 });
  t.ok(budget.tryTake(0));
  t.notOk(budget.tryTake(1));
  for (let index = 0; index < 11; index++) budget.recordSuccess(2);
  t.ok(budget.tryTake(3));
  t.end();
});

t.test("backoff doubles up to a maximum and has jitter", (t) => {
  t.equal(backoff(0, () => 0), 2.5);
  t.equal(backoff(2, () => 0), 10);
  t.equal(backoff(2, () => 0.5), 15);
  t.equal(backoff(60, () => 0), 500);
  t.end();
});

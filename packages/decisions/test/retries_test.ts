import fc from "fast-check";
import t from "tap";
import { backoff, RetryBudget } from "../src/mod.ts";

t.test("a window's retries never exceed what the budget holds", (t) => {
  // Every sidecar refuses, each request places again, and the refusals grow
  // with the retries: the service takes several times its traffic and stays
  // down. The budget bounds the retries of any window.
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
        retriesPerSuccess: retriesPerSuccess,
        refillPerSecond: refillPerSecond,
        capacity: capacity,
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

t.test("a spent budget recovers with successes", (t) => {
  const budget = new RetryBudget({ capacity: 1, refillPerSecond: 0 });
  t.ok(budget.tryTake(0));
  t.notOk(budget.tryTake(1));
  for (let index = 0; index < 11; index++) budget.recordSuccess(2);
  t.ok(budget.tryTake(3));
  t.end();
});

t.test("backoff doubles, is spread and has a longest wait", (t) => {
  t.equal(backoff(0, () => 0), 2.5);
  t.equal(backoff(2, () => 0), 10);
  t.equal(backoff(2, () => 0.5), 15);
  t.equal(backoff(60, () => 0), 500);
  t.end();
});

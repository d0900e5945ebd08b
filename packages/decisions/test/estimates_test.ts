import t from "tap";
import { CostEstimator, DrainRate, ServiceTimeEstimator } from "../src/mod.ts";

const QUOTE = {
  service: "drafts",
  organisation: "museum",
  route: "/v1/chat/completions",
  promptBytes: 20_000,
};
const IDENTIFICATION = { ...QUOTE, promptBytes: 800 };

// By the route's mean, an identification would wait as long as a quote.
t.test("large and small requests of one route are distinguished", (t) => {
  const estimator = new CostEstimator();
  t.same(estimator.estimate(IDENTIFICATION), {
    promptTokens: 200,
    outputTokens: 256,
  });
  for (let index = 0; index < 30; index += 1) {
    estimator.observe({ ...QUOTE, promptTokens: 5000, outputTokens: 2000 });
    const response = { promptTokens: 200, outputTokens: 20 };
    estimator.observe({ ...IDENTIFICATION, ...response });
  }
  const quote = estimator.estimate(QUOTE).outputTokens;
  const identification = estimator.estimate(IDENTIFICATION).outputTokens;
  t.ok(quote > 1500 && quote <= 2000, `${quote}`);
  t.ok(identification >= 20 && identification < 150, `${identification}`);
  const bounded = estimator.estimate({ ...QUOTE, maximumOutputTokens: 100 });
  t.equal(bounded.outputTokens, 100);
  t.end();
});

t.test("a new organisation starts with the usual cost of the route", (t) => {
  const estimator = new CostEstimator();
  for (let index = 0; index < 50; index += 1) {
    estimator.observe({ ...QUOTE, outputTokens: 2000 });
  }
  const newOrganisation = { ...QUOTE, organisation: "new" };
  t.ok(estimator.estimate(newOrganisation).outputTokens > 1800);
  estimator.observe({ ...newOrganisation, outputTokens: 100 });
  t.ok(
    estimator.estimate(newOrganisation).outputTokens > 1000,
    "one response has little weight",
  );
  t.end();
});

t.test("many new organisations do not evict the common estimate", (t) => {
  const estimator = new CostEstimator();
  for (let index = 0; index < 20_000; index += 1) {
    const organisation = `organisation ${index}`;
    estimator.observe({ ...QUOTE, organisation, outputTokens: 2000 });
  }
  t.ok(estimator.size <= 8192);
  t.ok(estimator.estimate(QUOTE).outputTokens > 1800);
  t.end();
});

t.test("the service time follows an engine that becomes slower", (t) => {
  const estimator = new ServiceTimeEstimator();
  const serve = (slowness: number) => {
    for (let index = 0; index < 200; index += 1) {
      const promptTokens = 100 + (index * 37) % 2000;
      const outputTokens = 10 + (index * 13) % 100;
      const firstToken = slowness * (40 + 0.1 * promptTokens);
      const total = firstToken + slowness * 20 * (outputTokens - 1);
      const cost = { promptTokens, outputTokens };
      estimator.observe({ cost, firstToken, total });
    }
  };
  const cost = { promptTokens: 1000, outputTokens: 51 };
  serve(1);
  t.ok(Math.abs(estimator.expectedTotal(cost) - 1140) < 60);
  serve(5);
  t.ok(Math.abs(estimator.expectedTotal(cost) - 5700) < 400);
  t.end();
});

t.test("the expected time of plain calls is their mean", (t) => {
  const estimator = new ServiceTimeEstimator();
  const cost = { promptTokens: 0, outputTokens: 1 };
  for (let index = 0; index < 300; index += 1) {
    estimator.observe({ cost, firstToken: 8, total: 8 });
  }
  t.ok(Math.abs(estimator.expectedTotal(cost) - 8) < 2);
  t.end();
});

// Callers that retry at the same time are refused together once more.
t.test("callers retry after the queue has drained, at different times", (t) => {
  const drain = new DrainRate();
  t.ok(drain.retryAfter(1000, 0, 0) >= 250, "cold start");
  for (let now = 0; now <= 30_000; now += 100) {
    drain.observe(50, now);
  }
  const first = drain.retryAfter(5000, 30_000, 0);
  const last = drain.retryAfter(5000, 30_000, 1);
  t.ok(Math.abs(first - 10_000) < 500, `${first}`);
  t.ok(Math.abs(last - first * 1.5) <= 1, `${last}`);
  t.equal(drain.retryAfter(1e9, 30_000, 0), 60_000);
  t.equal(drain.retryAfter(0, 30_000, 0), 250);
  t.ok(
    drain.retryAfter(5000, 40_000, 0) > 2 * first,
    "the queue has stopped draining",
  );
  t.end();
});

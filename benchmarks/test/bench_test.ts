import t from "tap";
import { baselines } from "../src/policies/baselines.ts";
import { allDecisionsPolicy } from "../src/policies/variants.ts";
import { compare } from "../src/report/compare.ts";
import { patternReport } from "../src/report/pattern_report.ts";
import { boundByTier } from "../src/report/upper_bound.ts";
import type { SimulatedRequest } from "../src/model/request.ts";
import { collective } from "../src/workload/collective.ts";
import type { Deployment } from "../src/workload/deployment.ts";
import { type Pattern, patterns } from "../src/workload/pattern.ts";
import { zlati } from "../src/workload/zlati.ts";

const policies = [...baselines, allDecisionsPolicy];

function short(deployment: Deployment): Deployment {
  return { ...deployment, horizon: 5000, warmUp: 1000 };
}

function pattern(name: string): Pattern {
  return patterns.find((pattern) => pattern.name === name)!;
}

t.test("runs with the same seed give the same report", (t) => {
  for (const name of ["overload-2", "crashing-request"]) {
    const options = {
      deployment: short(zlati),
      pattern: pattern(name),
      policies,
      seed: 7,
    };
    const first = compare(options);
    const second = compare(options);
    t.equal(
      patternReport(first.results, first.bounds),
      patternReport(second.results, second.bounds),
    );
  }
  t.end();
});

t.test("no policy exceeds the upper bound on goodput", (t) => {
  for (const deployment of [short(zlati), short(collective)]) {
    for (const name of ["overload-2", "engine-lost"]) {
      const { results, bounds } = compare({
        deployment,
        pattern: pattern(name),
        policies,
        seed: 3,
      });
      for (const { measures } of results) {
        t.ok(measures.good <= bounds.untiered);
      }
    }
  }
  t.end();
});

t.test("the upper bound uses the engine's full capacity and no more", (t) => {
  // Requests of 100 ms of work arrive at 0 with a deadline of 1 s at one engine
  // of speed 1: ten fit, those of the higher tier first.
  const requests = Array.from(
    { length: 16 },
    (_, id) => request(id, id % 2 === 0 ? 0 : 1),
  );
  const deployment: Deployment = {
    ...zlati,
    engines: [{ ...zlati.engines[0]!, speed: 1 }],
  };
  const good = boundByTier({
    deployment,
    pattern: { name: "one", load: 1 },
    requests,
  });
  t.equal(good.get("tier 0"), 8);
  t.ok(Math.abs(good.get("tier 1")! - 2) < 0.1);
  t.end();
});

function request(id: number, tierRank: number): SimulatedRequest {
  return {
    id,
    arrival: 0,
    requestClass: {
      ...zlati.classes[0]!,
      tier: `tier ${tierRank}`,
      tierRank,
      deadline: 1000,
    },
    organisation: "any",
    entry: 0,
    // 100 ms of prefill at 0.06 ms per token.
    promptTokens: 5000 / 3,
    prefixKey: "none",
    prefixTokens: 0,
    outputTokens: 0,
    fingerprint: "",
    crashesEngine: false,
    attempt: 0,
    counted: true,
  };
}

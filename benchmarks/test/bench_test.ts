import t from "tap";
import { baselines } from "../src/policies/baselines.ts";
import { decisions } from "../src/policies/variants.ts";
import { compare } from "../src/report/compare.ts";
import { patternReport } from "../src/report/pattern_report.ts";
import { boundByTier } from "../src/report/upper_bound.ts";
import type { SimulatedRequest } from "../src/model/request.ts";
import { collective } from "../src/workload/collective.ts";
import type { Deployment } from "../src/workload/deployment.ts";
import { type Pattern, patterns } from "../src/workload/pattern.ts";
import { zlati } from "../src/workload/zlati.ts";

const policies = [...baselines, decisions];

function short(deployment: Deployment): Deployment {
  return { ...deployment, horizon: 5000, warmUp: 1000 };
}

function pattern(name: string): Pattern {
  return patterns.find((one) => one.name === name)!;
}

t.test("the same seed gives the same digits", (t) => {
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
      patternReport(first.lines, first.bounds),
      patternReport(second.lines, second.bounds),
    );
  }
  t.end();
});

t.test("no policy passes the bound", (t) => {
  for (const deployment of [short(zlati), short(collective)]) {
    for (const name of ["overload-2", "engine-lost"]) {
      const { lines, bounds } = compare({
        deployment,
        pattern: pattern(name),
        policies,
        seed: 3,
      });
      for (const { measures } of lines) t.ok(measures.good <= bounds.free);
    }
  }
  t.end();
});

t.test("the bound fills the machine and no more", (t) => {
  // One engine of speed 1, requests of 100 ms that all arrive at 0 with 1 s to
  // go: ten fit, the higher tier's first.
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
    // 100 ms of prefill at 0.06 ms a token.
    promptTokens: 5000 / 3,
    prefixKey: "none",
    prefixTokens: 0,
    outputTokens: 0,
    fingerprint: "",
    crashes: false,
    attempt: 0,
    judged: true,
  };
}

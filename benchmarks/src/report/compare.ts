/** Runs several policies on the same arrivals and computes the bounds for these. @module */
import type { SimulatedRequest } from "../model/request.ts";
import type { NamedPolicy } from "../policies/baselines.ts";
import { run } from "../run.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";
import { measure } from "./measures.ts";
import type { Bounds, PolicyResult } from "./pattern_report.ts";
import { boundByTier, untieredBound } from "./upper_bound.ts";

/** Options of {@link compare}. */
export type CompareOptions = {
  deployment: Deployment;
  pattern: Pattern;
  policies: readonly NamedPolicy[];
  seed: number;
  /** Selects the arrivals that are simulated; by default all of them. */
  filter?: (request: SimulatedRequest) => boolean;
};

/** Returns the measures of each policy, and the bounds for the counted requests. */
export function compare(
  options: CompareOptions,
): { results: PolicyResult[]; bounds: Bounds } {
  const { deployment, pattern, policies, seed, filter } = options;
  const results: PolicyResult[] = [];
  let requests: SimulatedRequest[] = [];
  for (const { name, createPolicy } of policies) {
    const { outcomes } = run({
      deployment,
      pattern,
      createPolicy,
      seed,
      ...(filter === undefined ? {} : { filter }),
    });
    results.push({ name, measures: measure(outcomes) });
    requests = outcomes.map((outcome) => outcome.request).filter((request) =>
      request.counted
    );
  }
  const boundOptions = { deployment, pattern, requests };
  const bounds = {
    byTier: boundByTier(boundOptions),
    untiered: untieredBound(boundOptions),
  };
  return { results, bounds };
}

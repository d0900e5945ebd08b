/** Runs policies on the same arrivals and measures them beside the bounds. @module */
import type { SimulatedRequest } from "../model/request.ts";
import type { NamedPolicy } from "../policies/baselines.ts";
import { run } from "../run.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";
import { measure } from "./measures.ts";
import type { Bounds, Line } from "./pattern_report.ts";
import { boundByTier, freeBound } from "./upper_bound.ts";

/** See {@link compare}. */
export type CompareOptions = {
  deployment: Deployment;
  pattern: Pattern;
  policies: readonly NamedPolicy[];
  seed: number;
  /** Only these arrivals happen. */
  only?: (request: SimulatedRequest) => boolean;
};

/** One line for each policy, and what was possible. */
export function compare(
  options: CompareOptions,
): { lines: Line[]; bounds: Bounds } {
  const { deployment, pattern, policies, seed, only } = options;
  const lines: Line[] = [];
  let requests: SimulatedRequest[] = [];
  for (const { name, policy } of policies) {
    const { outcomes } = run({
      deployment,
      pattern,
      policy,
      seed,
      ...(only === undefined ? {} : { only }),
    });
    lines.push({ name, measures: measure(outcomes) });
    requests = outcomes.map((one) => one.request).filter((one) => one.judged);
  }
  const bounded = { deployment, pattern, requests };
  const bounds = { byTier: boundByTier(bounded), free: freeBound(bounded) };
  return { lines, bounds };
}

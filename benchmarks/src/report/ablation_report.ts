/** Shows what each decision contributes, by leaving it out. @module */
import { ablationPolicies } from "../policies/variants.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";
import { compare } from "./compare.ts";
import { goodputTable } from "./pattern_report.ts";

/** Returns the table of one pattern, with one row per ablation. */
export function ablationReport(
  options: { deployment: Deployment; pattern: Pattern; seed: number },
): string {
  const { results, bounds } = compare({
    ...options,
    policies: ablationPolicies,
  });
  return goodputTable(results, bounds);
}

/** What each decision is worth: the whole set beside the set without it. @module */
import { variants } from "../policies/variants.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";
import { compare } from "./compare.ts";
import { goodputTable } from "./pattern_report.ts";

/** One table for one pattern. */
export function ablationReport(
  options: { deployment: Deployment; pattern: Pattern; seed: number },
): string {
  const { lines, bounds } = compare({ ...options, policies: variants });
  return goodputTable(lines, bounds);
}

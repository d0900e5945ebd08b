/**
 * The sections of the simulation benchmark, as Markdown. A section depends on
 * its arguments only.
 * @module
 */
import { baselines } from "./policies/baselines.ts";
import { allDecisionsPolicy } from "./policies/variants.ts";
import { ablationReport } from "./report/ablation_report.ts";
import { aimReport } from "./report/aim_report.ts";
import { compare } from "./report/compare.ts";
import { goodputTable, patternReport } from "./report/pattern_report.ts";
import { type Deployment, withEqualSpeeds } from "./workload/deployment.ts";
import { type Pattern, patterns } from "./workload/pattern.ts";

/** What to simulate in a section. */
export type SectionOptions = {
  deployments: readonly Deployment[];
  patterns: readonly Pattern[];
  seed: number;
};

/** Number of consecutive seeds for the figures of the aim section. */
const AIM_SEEDS = 5;
/** The patterns on which at least one ablation makes a difference. */
const ABLATION_PATTERNS = ["hot-organisation", "slow-engine", "overload-2"];

/** Compares all baselines and the project's policy on each pattern. */
export function* patternSection(options: SectionOptions): Generator<string> {
  for (const deployment of options.deployments) {
    for (const pattern of options.patterns) {
      const { results, bounds } = compare({
        deployment,
        pattern,
        policies: [...baselines, allDecisionsPolicy],
        seed: options.seed,
      });
      yield `### ${deployment.name}: ${pattern.name}\n\n` +
        patternReport(results, bounds);
    }
  }
}

/** Measures the figures of the project's aim at a load of twice the capacity. */
export function* aimSection(options: SectionOptions): Generator<string> {
  const pattern = findPattern("overload-2");
  const seeds = Array.from(
    { length: AIM_SEEDS },
    (_, index) => options.seed + index,
  );
  for (const deployment of options.deployments) {
    yield `### ${deployment.name}: the aim, seeds ${seeds.join(", ")}\n\n` +
      aimReport({ deployment, pattern, seeds });
    yield `### ${deployment.name}: overload-2 with engines of one speed\n\n` +
      equalSpeedsReport(withEqualSpeeds(deployment), pattern, options.seed);
  }
}

/** Compares the project's policy with its ablations on the patterns for these. */
export function* ablationSection(options: SectionOptions): Generator<string> {
  for (const deployment of options.deployments) {
    for (const name of ABLATION_PATTERNS) {
      const pattern = findPattern(name);
      if (!options.patterns.includes(pattern)) continue;
      yield `### ${deployment.name}: ${name}, ablations\n\n` +
        ablationReport({ deployment, pattern, seed: options.seed });
    }
  }
}

/**
 * Reports on engines of equal speed, which shows whether tiers are shed out of
 * order for another reason than engines of different speed.
 */
function equalSpeedsReport(
  deployment: Deployment,
  pattern: Pattern,
  seed: number,
): string {
  const policies = [allDecisionsPolicy];
  const { results, bounds } = compare({ deployment, pattern, policies, seed });
  return goodputTable(results, bounds);
}

function findPattern(name: string): Pattern {
  return patterns.find((pattern) => pattern.name === name)!;
}

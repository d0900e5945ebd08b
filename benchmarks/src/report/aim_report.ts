/**
 * Measures the three figures of the project's aim at a load of twice the
 * capacity, over several seeds: the goodput of the top tiers relative to their
 * goodput when only they send requests, all goodput relative to the bound, and
 * wasted prefill relative to that of the best baseline.
 * @module
 */
import { baselines } from "../policies/baselines.ts";
import { allDecisionsPolicy } from "../policies/variants.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";
import { compare } from "./compare.ts";
import { type Measures, wasteShare } from "./measures.ts";
import { type Row, table } from "./table.ts";

/** The figures of one seed, as fractions. */
type Figures = {
  topGoodputShare: number;
  tieredBoundShare: number;
  untieredBoundShare: number;
  lateShare: number;
  repeatedShare: number;
  baselineWasteShare: number;
};

/** Returns a table of the mean and worst figures over the seeds. */
export function aimReport(
  options: { deployment: Deployment; pattern: Pattern; seeds: number[] },
): string {
  const figuresBySeed = options.seeds.map((seed) => measureSeed(options, seed));
  const rows: Row[] = [
    createRow(
      "top tiers' goodput / alone",
      figuresBySeed,
      (figures) => figures.topGoodputShare,
      "min",
    ),
    createRow(
      "goodput / bound tier by tier",
      figuresBySeed,
      (figures) => figures.tieredBoundShare,
      "min",
    ),
    createRow(
      "goodput / bound without tiers",
      figuresBySeed,
      (figures) => figures.untieredBoundShare,
      "min",
    ),
    createRow(
      "late prefill / prefill",
      figuresBySeed,
      (figures) => figures.lateShare,
      "max",
    ),
    createRow(
      "repeated prefill / prefill",
      figuresBySeed,
      (figures) => figures.repeatedShare,
      "max",
    ),
    createRow(
      "wasted prefill / best baseline's",
      figuresBySeed,
      (figures) => figures.baselineWasteShare,
      "max",
    ),
  ];
  return table(["%", "aim", "mean", "worst"], rows);
}

/** The values aimed at, in percent. */
const AIMS = new Map([
  ["top tiers' goodput / alone", ">= 99"],
  ["goodput / bound tier by tier", ">= 90"],
  ["wasted prefill / best baseline's", "< 10"],
]);

function createRow(
  name: string,
  figuresBySeed: readonly Figures[],
  figureOf: (figures: Figures) => number,
  worst: "min" | "max",
): Row {
  const values = figuresBySeed.map(figureOf);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const extreme = worst === "min" ? Math.min(...values) : Math.max(...values);
  return [
    name,
    AIMS.get(name) ?? "",
    formatPercent(mean),
    formatPercent(extreme),
  ];
}

function formatPercent(value: number): string {
  return (100 * value).toFixed(1);
}

function measureSeed(
  { deployment, pattern }: { deployment: Deployment; pattern: Pattern },
  seed: number,
): Figures {
  const { topTierRanks } = deployment;
  const overall = compare({
    deployment,
    pattern,
    policies: [allDecisionsPolicy, ...baselines],
    seed,
  });
  const alone = compare({
    deployment,
    pattern,
    policies: [allDecisionsPolicy],
    seed,
    filter: (request) => topTierRanks.includes(request.requestClass.tierRank),
  });
  const measures = overall.results[0]!.measures;
  const baselineMeasures = overall.results.slice(1).map((result) =>
    result.measures
  );
  let bound = 0;
  for (const good of overall.bounds.byTier.values()) bound += good;
  return {
    topGoodputShare: countGood(measures, topTierRanks) /
      countGood(alone.results[0]!.measures, topTierRanks),
    tieredBoundShare: measures.good / bound,
    untieredBoundShare: measures.good / overall.bounds.untiered,
    lateShare: measures.lateTokens / measures.prefilledTokens,
    repeatedShare: measures.repeatedTokens / measures.prefilledTokens,
    baselineWasteShare: wasteShare(measures) /
      Math.min(...baselineMeasures.map(wasteShare)),
  };
}

function countGood(measures: Measures, ranks: readonly number[]): number {
  return measures.tiers.filter((tier) => ranks.includes(tier.rank))
    .reduce((sum, tier) => sum + tier.good, 0);
}

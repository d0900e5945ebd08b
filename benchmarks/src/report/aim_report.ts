/**
 * The aim's three figures at twice the capacity, over several seeds: the top
 * tiers' goodput beside what they have alone, all goodput beside the bound, and
 * wasted prefill beside the best baseline's.
 * @module
 */
import { baselines } from "../policies/baselines.ts";
import { decisions } from "../policies/variants.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";
import { compare } from "./compare.ts";
import { type Measures, wasteShare } from "./measures.ts";
import { type Row, table } from "./table.ts";

/** Shares of 1 for one seed. */
type Figures = {
  topKept: number;
  ofBound: number;
  ofFreeBound: number;
  late: number;
  repeated: number;
  ofBaselineWaste: number;
};

/** Mean and worst of the seeds for one deployment. */
export function aimReport(
  options: { deployment: Deployment; pattern: Pattern; seeds: number[] },
): string {
  const figures = options.seeds.map((seed) => seedFigures(options, seed));
  const rows: Row[] = [
    row("top tiers' goodput / alone", figures, (one) => one.topKept, "least"),
    row("goodput / bound tier by tier", figures, (one) => one.ofBound, "least"),
    row(
      "goodput / bound without tiers",
      figures,
      (one) => one.ofFreeBound,
      "least",
    ),
    row("late prefill / prefill", figures, (one) => one.late, "most"),
    row("repeated prefill / prefill", figures, (one) => one.repeated, "most"),
    row(
      "wasted prefill / best baseline's",
      figures,
      (one) => one.ofBaselineWaste,
      "most",
    ),
  ];
  return table(["%", "aim", "mean", "worst"], rows);
}

const AIMS = new Map([
  ["top tiers' goodput / alone", ">= 99"],
  ["goodput / bound tier by tier", ">= 90"],
  ["wasted prefill / best baseline's", "< 10"],
]);

function row(
  name: string,
  figures: readonly Figures[],
  figureOf: (one: Figures) => number,
  worst: "least" | "most",
): Row {
  const values = figures.map(figureOf);
  const mean = values.reduce((sum, one) => sum + one, 0) / values.length;
  const extreme = worst === "least" ? Math.min(...values) : Math.max(...values);
  return [name, AIMS.get(name) ?? "", cell(mean), cell(extreme)];
}

function cell(value: number): string {
  return (100 * value).toFixed(1);
}

function seedFigures(
  { deployment, pattern }: { deployment: Deployment; pattern: Pattern },
  seed: number,
): Figures {
  const { topRanks } = deployment;
  const full = compare({
    deployment,
    pattern,
    policies: [decisions, ...baselines],
    seed,
  });
  const alone = compare({
    deployment,
    pattern,
    policies: [decisions],
    seed,
    only: (request) => topRanks.includes(request.requestClass.tierRank),
  });
  const measures = full.lines[0]!.measures;
  const others = full.lines.slice(1).map((one) => one.measures);
  let bound = 0;
  for (const good of full.bounds.byTier.values()) bound += good;
  return {
    topKept: goodOf(measures, topRanks) /
      goodOf(alone.lines[0]!.measures, topRanks),
    ofBound: measures.good / bound,
    ofFreeBound: measures.good / full.bounds.free,
    late: measures.lateTokens / measures.prefilledTokens,
    repeated: measures.repeatedTokens / measures.prefilledTokens,
    ofBaselineWaste: wasteShare(measures) /
      Math.min(...others.map(wasteShare)),
  };
}

function goodOf(measures: Measures, ranks: readonly number[]): number {
  return measures.tiers.filter((one) => ranks.includes(one.rank))
    .reduce((sum, one) => sum + one.good, 0);
}

/** The tables of one pattern: the policies compared with the bounds. @module */
import type { Measures } from "./measures.ts";
import { percent, type Row, table } from "./table.ts";

/** The measures of one policy. */
export type PolicyResult = { name: string; measures: Measures };

/** Upper bounds on the number of good requests, by tier and without tiers. */
export type Bounds = { byTier: Map<string, number>; untiered: number };

/**
 * Returns the goodput table, followed by tables of the times to first token and
 * of the reasons for requests without a response.
 */
export function patternReport(
  results: readonly PolicyResult[],
  bounds: Bounds,
): string {
  return `${goodputTable(results, bounds)}\n\n${firstTokenTable(results)}`;
}

/**
 * Returns a table of goodput by tier, wasted prefill, tiers shed out of order
 * and fairness, with one row per policy and bound.
 */
export function goodputTable(
  results: readonly PolicyResult[],
  bounds: Bounds,
): string {
  const tiers = results[0]!.measures.tiers;
  const heading = [
    "goodput %",
    ...tiers.map((tier) => tier.tier),
    "all",
    "late prefill %",
    "repeated prefill %",
    "wrong order",
    "Jain",
    "worst share",
  ];
  const offered = results[0]!.measures.offered;
  let total = 0;
  const boundCells = tiers.map((tier) => {
    const good = bounds.byTier.get(tier.tier) ?? 0;
    total += good;
    return percent(good, tier.offered);
  });
  const rows: Row[] = results.map(goodputRow);
  rows.push(["bound, tier by tier", ...boundCells, percent(total, offered)]);
  const none = tiers.map(() => "");
  rows.push(["bound, no tiers", ...none, percent(bounds.untiered, offered)]);
  return table(heading, rows);
}

function goodputRow({ name, measures }: PolicyResult): Row {
  const { tiers, fairness, prefilledTokens } = measures;
  return [
    name,
    ...tiers.map((tier) => percent(tier.good, tier.offered)),
    percent(measures.good, measures.offered),
    percent(measures.lateTokens, prefilledTokens),
    percent(measures.repeatedTokens, prefilledTokens),
    String(measures.sheddingViolations),
    fairness?.jainIndex.toFixed(3) ?? "-",
    fairness?.worstRatio.toFixed(2) ?? "-",
  ];
}

function firstTokenTable(results: readonly PolicyResult[]): string {
  const tiers = results[0]!.measures.tiers;
  const heading = [
    "first token p50/p99 ms",
    ...tiers.map((tier) => tier.tier),
  ];
  const rows = results.map(({ name, measures }) => [
    name,
    ...measures.tiers.map((tier) =>
      `${tier.firstTokenP50}/${tier.firstTokenP99}`
    ),
  ]);
  return `${table(heading, rows)}\n\n${reasonTable(results)}`;
}

function reasonTable(results: readonly PolicyResult[]): string {
  const tiers = results[0]!.measures.tiers;
  const rows: Row[] = [];
  for (const { name, measures } of results) {
    const reasons = new Set(
      measures.tiers.flatMap((tier) => [...tier.reasons.keys()]),
    );
    for (const reason of [...reasons].sort()) {
      const counts = measures.tiers.map((tier) =>
        tier.reasons.get(reason) ?? 0
      );
      rows.push([`${name}: ${reason}`, ...counts.map(String)]);
    }
  }
  return table(["not answered", ...tiers.map((tier) => tier.tier)], rows);
}

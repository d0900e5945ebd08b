/** The tables of one pattern: each policy beside the bounds. @module */
import type { Measures } from "./measures.ts";
import { percent, type Row, table } from "./table.ts";

/** A policy's name and its figures. */
export type Line = { name: string; measures: Measures };

/** Good requests that the bounds allow. */
export type Bounds = { byTier: Map<string, number>; free: number };

/** Goodput by tier, waste, order of shedding and fairness; then delays. */
export function patternReport(lines: readonly Line[], bounds: Bounds): string {
  return `${goodputTable(lines, bounds)}\n\n${delayTable(lines)}`;
}

/** Goodput by tier, waste, order of shedding and fairness. */
export function goodputTable(lines: readonly Line[], bounds: Bounds): string {
  const tiers = lines[0]!.measures.tiers;
  const heading = [
    "goodput %",
    ...tiers.map((one) => one.tier),
    "all",
    "late prefill %",
    "repeated prefill %",
    "wrong order",
    "Jain",
    "worst share",
  ];
  const offered = lines[0]!.measures.offered;
  let total = 0;
  const boundCells = tiers.map((one) => {
    const good = bounds.byTier.get(one.tier) ?? 0;
    total += good;
    return percent(good, one.offered);
  });
  const rows: Row[] = lines.map(goodputRow);
  rows.push(["bound, tier by tier", ...boundCells, percent(total, offered)]);
  const none = tiers.map(() => "");
  rows.push(["bound, no tiers", ...none, percent(bounds.free, offered)]);
  return table(heading, rows);
}

function goodputRow({ name, measures }: Line): Row {
  const { tiers, fairness, prefilledTokens } = measures;
  return [
    name,
    ...tiers.map((one) => percent(one.good, one.offered)),
    percent(measures.good, measures.offered),
    percent(measures.lateTokens, prefilledTokens),
    percent(measures.repeatedTokens, prefilledTokens),
    String(measures.violations),
    fairness?.jain.toFixed(3) ?? "-",
    fairness?.worst.toFixed(2) ?? "-",
  ];
}

function delayTable(lines: readonly Line[]): string {
  const tiers = lines[0]!.measures.tiers;
  const heading = [
    "first token p50/p99 ms",
    ...tiers.map((one) => one.tier),
  ];
  const rows = lines.map(({ name, measures }) => [
    name,
    ...measures.tiers.map((one) =>
      `${one.firstTokenMedian}/${one.firstTokenTail}`
    ),
  ]);
  return `${table(heading, rows)}\n\n${reasonTable(lines)}`;
}

function reasonTable(lines: readonly Line[]): string {
  const tiers = lines[0]!.measures.tiers;
  const rows: Row[] = [];
  for (const { name, measures } of lines) {
    const reasons = new Set(
      measures.tiers.flatMap((one) => [...one.reasons.keys()]),
    );
    for (const reason of [...reasons].sort()) {
      const counts = measures.tiers.map((one) => one.reasons.get(reason) ?? 0);
      rows.push([`${name}: ${reason}`, ...counts.map(String)]);
    }
  }
  return table(["not answered", ...tiers.map((one) => one.tier)], rows);
}

/** Formats the results of a load as a table. @module */
import type { LoadSummary, Percentiles } from "./load_results.ts";

/** Formats a plain-text table with one row for each part of the mix. */
export function formatLoadSummaries(summaries: LoadSummary[]): string {
  const rows = summaries.map((summary) => [
    summary.part,
    String(summary.sent),
    String(summary.answered),
    formatPercentiles(summary.firstByte),
    formatPercentiles(summary.total),
    formatCounts(summary.others),
  ]);
  const header = [
    "part",
    "sent",
    "answered",
    "first byte p50/p99",
    "total p50/p99",
    "not answered",
  ];
  return formatTable([header, ...rows]);
}

function formatPercentiles({ p50, p99 }: Percentiles): string {
  return `${p50.toFixed(1)}/${p99.toFixed(1)} ms`;
}

function formatCounts(counts: Record<string, number>): string {
  const parts = Object.entries(counts).map(([reason, count]) =>
    `${reason} ${count}`
  );
  return parts.length === 0 ? "-" : parts.join(", ");
}

function formatTable(rows: string[][]): string {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return rows
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ")
        .trimEnd()
    )
    .join("\n");
}

/** The results of a load as a table. @module */
import type { LoadSummary, Percentiles } from "./load_results.ts";

/** A table for people; durations are milliseconds. */
export function formatLoadSummaries(summaries: LoadSummary[]): string {
  const rows = summaries.map((summary) => [
    summary.part,
    String(summary.sent),
    String(summary.answered),
    both(summary.firstByte),
    both(summary.total),
    others(summary.others),
  ]);
  const header = [
    "part",
    "sent",
    "answered",
    "first byte p50/p99",
    "total p50/p99",
    "not answered",
  ];
  return table([header, ...rows]);
}

function both({ p50, p99 }: Percentiles): string {
  return `${p50.toFixed(1)}/${p99.toFixed(1)} ms`;
}

function others(counts: Record<string, number>): string {
  const parts = Object.entries(counts).map(([reason, count]) =>
    `${reason} ${count}`
  );
  return parts.length === 0 ? "-" : parts.join(", ");
}

function table(rows: string[][]): string {
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

/** Markdown tables, padded so that they read well in a terminal too. @module */

/** One line of cells, each as text. */
export type Row = string[];

/** The table with its heading; the first column is set left, others right. */
export function table(heading: Row, rows: readonly Row[]): string {
  const widths = heading.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0))
  );
  const rule = widths.map((width, column) =>
    column === 0 ? "-".repeat(width) : `${"-".repeat(width - 1)}:`
  );
  return [heading, rule, ...rows].map((row) => line(row, widths)).join("\n");
}

function line(row: Row, widths: readonly number[]): string {
  const cells = widths.map((width, column) => {
    const cell = row[column] ?? "";
    return column === 0 ? cell.padEnd(width) : cell.padStart(width);
  });
  return `| ${cells.join(" | ")} |`;
}

/** A share as a percentage with one decimal. */
export function percent(part: number, whole: number): string {
  return whole === 0 ? "-" : (100 * part / whole).toFixed(1);
}

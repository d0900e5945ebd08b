/** Formats Markdown tables, padded for reading in a terminal as well. @module */

/** The cells of one row. */
export type Row = string[];

/** Formats a table; the first column is left-aligned, the others right-aligned. */
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

/** Formats `part / whole` as a percentage; "-" if `whole` is 0. */
export function percent(part: number, whole: number): string {
  return whole === 0 ? "-" : (100 * part / whole).toFixed(1);
}

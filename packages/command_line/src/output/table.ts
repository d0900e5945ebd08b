/** Formats tables, durations and shares as text. @module */

const COLUMN_GAP = "  ";

/**
 * Returns the lines of a table with aligned columns; the first row is the
 * heading.
 */
export function formatTable(rows: string[][]): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP)
      .trimEnd()
  );
}

/** Formats a duration in its two largest units, such as `3h 12m`. */
export function formatDuration(milliseconds: number): string {
  const seconds = Math.floor(milliseconds / 1000);
  const minutes = Math.floor(seconds / 60);
  const hours = Math.floor(minutes / 60);
  const days = Math.floor(hours / 24);
  if (days > 0) {
    return `${days}d ${hours % 24}h`;
  }
  if (hours > 0) {
    return `${hours}h ${minutes % 60}m`;
  }
  return minutes > 0 ? `${minutes}m ${seconds % 60}s` : `${seconds}s`;
}

/** Formats a share, 0 to 1, as a percentage. */
export function formatPercentage(share: number): string {
  return `${Number((share * 100).toFixed(1))}%`;
}

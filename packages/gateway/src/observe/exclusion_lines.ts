/** Log lines on servers that are excluded or readmitted. @module */
import type { ExclusionChange } from "@sycamorepulley/decisions";
import type { LogEvent } from "./events.ts";

/** Returns the log line on a change; ratios are rounded to hundredths. */
export function exclusionLine(change: ExclusionChange): LogEvent {
  const { server } = change;
  if (change.kind === "readmitted") {
    return { event: "server_readmitted", server };
  }
  const { cause, slowness, median, duration } = change;
  return {
    event: "server_excluded",
    server,
    cause,
    ...(slowness !== undefined && { slowness: rounded(slowness) }),
    ...(median !== undefined && { median: rounded(median) }),
    duration,
  };
}

function rounded(ratio: number): number {
  return Math.round(ratio * 100) / 100;
}

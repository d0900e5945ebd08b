/** A refusal that says "not run" is true. @module */
import type { CallRecord } from "../history/call_record.ts";
import type { RunRecord } from "../history/run_record.ts";
import type { Violation } from "./violation.ts";

/**
 * Finds requests that ran although every answer said that they had not. The
 * runs must have been read after the last call ended and the servers were idle,
 * else a run that starts later is missed.
 */
export function checkNotRunRefusals(
  calls: CallRecord[],
  runs: RunRecord[],
): Violation[] {
  const ran = new Map(runs.map((run) => [run.marker, run.server]));
  const possiblyRun = new Set(
    calls.filter((call) => !saysNotRun(call)).map((call) => call.marker),
  );
  return calls
    .filter(({ marker }) => ran.has(marker) && !possiblyRun.has(marker))
    .map(({ marker }) => ({
      check: "not-run truth",
      marker,
      detail: `refused as not run, yet ${ran.get(marker)} started it`,
    }));
}

function saysNotRun({ outcome }: CallRecord): boolean {
  return outcome.type === "refused" && outcome.ran === "no";
}

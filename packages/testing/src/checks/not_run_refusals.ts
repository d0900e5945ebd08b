/** Checks that requests refused as not run have not run. @module */
import type { CallRecord } from "../history/call_record.ts";
import type { RunRecord } from "../history/run_record.ts";
import type { Violation } from "./violation.ts";

/**
 * Finds requests that ran although every response said that they had not. The
 * runs must be read after the last call has ended and the servers are idle,
 * otherwise a run that starts later is missed.
 */
export function checkNotRunRefusals(
  calls: CallRecord[],
  runs: RunRecord[],
): Violation[] {
  const serversByMarker = new Map(runs.map((run) => [run.marker, run.server]));
  const possiblyRun = new Set(
    calls.filter((call) => !saysNotRun(call)).map((call) => call.marker),
  );
  return calls
    .filter(({ marker }) =>
      serversByMarker.has(marker) && !possiblyRun.has(marker)
    )
    .map(({ marker }) => ({
      check: "not-run refusals",
      marker,
      detail: `refused as not run, but ${
        serversByMarker.get(marker)
      } started it`,
    }));
}

function saysNotRun({ outcome }: CallRecord): boolean {
  return outcome.type === "refused" && outcome.ran === "no";
}

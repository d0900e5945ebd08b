/** A request is dispatched at most once. @module */
import type { RunRecord } from "../history/run_record.ts";
import type { Violation } from "./violation.ts";

/**
 * Finds markers that backend servers saw more than once. Resends that may run
 * again carry a marker of their own; resends with an idempotency key keep it.
 */
export function checkDispatchedOnce(runs: RunRecord[]): Violation[] {
  const violations: Violation[] = [];
  for (const [marker, servers] of serversByMarker(runs)) {
    if (servers.length > 1) {
      violations.push({
        check: "dispatched at most once",
        marker,
        detail: `started ${servers.length} times: ${servers.join(", ")}`,
      });
    }
  }
  return violations;
}

function serversByMarker(runs: RunRecord[]): Map<string, string[]> {
  const servers = new Map<string, string[]>();
  for (const { marker, server } of runs) {
    if (marker === undefined) {
      continue;
    }
    servers.set(marker, [...servers.get(marker) ?? [], server]);
  }
  return servers;
}

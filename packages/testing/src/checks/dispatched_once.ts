/** Checks that a request is dispatched at most once. @module */
import type { RunRecord } from "../history/run_record.ts";
import type { Violation } from "./violation.ts";

/**
 * Finds markers whose requests backend servers have started more than once. A
 * retry that may run again must have a marker of its own; a retry with an
 * idempotency key keeps the marker.
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

/** Which servers of a version on trial are used. @module */
import { incarnationOf } from "../discovery/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";

/**
 * Returns the incarnations of as many servers of each data centre as the share
 * of the requests needs, one at least.
 */
export function trialServers(
  records: readonly ServerRecord[],
  share: number,
): ReadonlySet<string> {
  const names = new Map<string, string[]>();
  for (const record of records) {
    const name = incarnationOf(record);
    const same = names.get(record.dataCentre);
    if (same === undefined) names.set(record.dataCentre, [name]);
    else same.push(name);
  }
  return new Set(
    [...names.values()].flatMap((same) =>
      same.sort().slice(0, Math.max(1, Math.ceil(share * same.length)))
    ),
  );
}

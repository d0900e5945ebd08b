/** Bounding a graceful shutdown. @module */
import { setTimeout as sleep } from "node:timers/promises";

/** Resolves when `work` does, or after `limit` milliseconds; true if `work` did. */
export async function completesWithin(
  work: Promise<unknown>,
  limit: number,
): Promise<boolean> {
  const stop = new AbortController();
  const overdue = sleep(limit, false, { signal: stop.signal }).catch(() =>
    false
  );
  const done = await Promise.race([work.then(() => true), overdue]);
  stop.abort();
  return done;
}

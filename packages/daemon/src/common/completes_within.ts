/** Limits how long a graceful shutdown waits. @module */
import { setTimeout as sleep } from "node:timers/promises";

/**
 * Waits for `work`, at most `timeout` milliseconds. Resolves to whether `work`
 * completed in time.
 */
export async function completesWithin(
  work: Promise<unknown>,
  timeout: number,
): Promise<boolean> {
  const timer = new AbortController();
  const timedOut = sleep(timeout, false, { signal: timer.signal }).catch(() =>
    false
  );
  const done = await Promise.race([work.then(() => true), timedOut]);
  timer.abort();
  return done;
}

/** Waits for a condition by polling, instead of for a fixed time. @module */
import { setTimeout } from "node:timers/promises";

/** Milliseconds between two probes. */
const POLL_INTERVAL = 10;
/** Milliseconds after which the condition counts as failed. */
const DEFAULT_TIMEOUT = 20_000;

/**
 * Resolves with the first value of `probe` that is neither `undefined` nor
 * `false`. Rejects if there is none within `timeout` milliseconds; the error
 * message contains `description`.
 */
export async function waitFor<Value>(
  description: string,
  probe: () => Value | undefined | false | Promise<Value | undefined | false>,
  timeout: number = DEFAULT_TIMEOUT,
): Promise<Value> {
  const end = performance.now() + timeout;
  while (true) {
    const value = await probe();
    if (value !== undefined && value !== false) {
      return value;
    }
    if (performance.now() > end) {
      throw new Error(
        `timed out after ${timeout} ms waiting for ${description}`,
      );
    }
    await setTimeout(POLL_INTERVAL);
  }
}

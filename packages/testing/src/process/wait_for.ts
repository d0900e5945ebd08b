/** Waiting for a condition instead of sleeping. @module */
import { setTimeout } from "node:timers/promises";

const POLL_INTERVAL = 10;
const DEFAULT_TIMEOUT = 20_000;

/**
 * Resolves with the first value of `probe` that is neither `undefined` nor
 * `false`. Rejects, naming `what`, when there is none in time.
 */
export async function waitFor<Value>(
  what: string,
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
      throw new Error(`waited ${timeout} ms in vain for ${what}`);
    }
    await setTimeout(POLL_INTERVAL);
  }
}

/**
 * When a process asks the platform's service for a newer configuration.
 *
 * Load pattern: every process of the fleet asks, for ever. In a small fleet each
 * holds a watch, so that a publish is in force within milliseconds. In a large
 * one a publish would wake all watchers at once, and each would fetch the whole
 * set in the same instant; there the reads are spaced by the fleet's size and
 * spread by jitter, and peers hand newer sets on between them.
 * @module
 */

/** Largest fleet in which everybody watches. */
const WATCHING_FLEET = 50;
/**
 * With a call's timeout and a backoff below the 12 s in which a publish must be
 * in force: an outage of the service may swallow a watch.
 */
const WATCH_DURATION = 7000;
/** Share of the service's two thousand reads a second given to these polls. */
const POLLS_PER_SECOND = 150;
const SHORTEST_INTERVAL = 1000;
/** Below the 12 s in which a publish must be in force, jitter included. */
const LONGEST_INTERVAL = 9000;
const LONGEST_BACKOFF = 15_000;
const JITTER = 0.25;
/** Between two watches, lest a service that answers at once is called in a loop. */
const PAUSE_BETWEEN_WATCHES = 100;

/** Milliseconds a call may wait at the service; 0 for a plain read. */
export function watchDuration(fleetSize: number): number {
  return fleetSize <= WATCHING_FLEET ? WATCH_DURATION : 0;
}

/**
 * Milliseconds until the next call. `failures` counts the calls in a row that
 * failed; `random` is within 0 and 1.
 */
export function pollDelay(
  options: { fleetSize: number; failures: number; random: number },
): number {
  const { fleetSize, failures, random } = options;
  const interval = pollInterval(fleetSize);
  if (failures > 0) {
    const backoff = interval * 2 ** Math.min(failures - 1, 10);
    return Math.min(LONGEST_BACKOFF, backoff) * (0.5 + random / 2);
  }
  return watchDuration(fleetSize) > 0
    ? PAUSE_BETWEEN_WATCHES
    : interval * (1 - JITTER + 2 * JITTER * random);
}

function pollInterval(fleetSize: number): number {
  const spaced = (fleetSize / POLLS_PER_SECOND) * 1000;
  return Math.min(LONGEST_INTERVAL, Math.max(SHORTEST_INTERVAL, spaced));
}

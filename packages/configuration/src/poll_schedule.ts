/**
 * When a process reads the key-value service for a newer configuration.
 *
 * Every process of the fleet does this all the time. In a small fleet each
 * process holds a watch, so that a publish is in force within milliseconds. In
 * a large fleet a publish would wake all watches at once, and every process
 * would fetch the whole configuration at the same time. There, processes poll
 * instead, at an interval that grows with the size of the fleet and has jitter,
 * and between polls they receive newer configurations from their peers.
 * @module
 */

/** Size of the largest fleet, in processes, in which every process watches. */
const MAX_WATCHING_FLEET_SIZE = 50;
/**
 * Longest wait of a watch, in milliseconds. A publish must be in force within
 * 12 s. As an outage of the service can leave a watch without a response, this
 * wait, the timeout of a call and one backoff together stay below that.
 */
const WATCH_DURATION = 7000;
/**
 * Polls per second of the whole fleet; a fraction of the 2,000 reads per second
 * that the service allows.
 */
const POLLS_PER_SECOND = 150;
/** Shortest time between two polls, in milliseconds. */
const MIN_INTERVAL = 1000;
/**
 * Longest time between two polls, in milliseconds. With jitter it stays below
 * the 12 s within which a publish must be in force.
 */
const MAX_INTERVAL = 9000;
/** Longest backoff after failed calls, in milliseconds. */
const MAX_BACKOFF = 15_000;
/** Largest deviation from the poll interval, as a fraction of it. */
const JITTER = 0.25;
/**
 * Milliseconds between two watches. Without the pause, a service that responds
 * at once would be called in a tight loop.
 */
const PAUSE_BETWEEN_WATCHES = 100;

/**
 * How long a watch may wait at the service, in milliseconds; 0 is a plain read.
 */
export function watchDuration(fleetSize: number): number {
  return fleetSize <= MAX_WATCHING_FLEET_SIZE ? WATCH_DURATION : 0;
}

/**
 * Milliseconds until the next call. `failures` is the number of consecutive
 * failed calls; `random` is a number from 0 to 1.
 */
export function pollDelay(
  options: { fleetSize: number; failures: number; random: number },
): number {
  const { fleetSize, failures, random } = options;
  const interval = pollInterval(fleetSize);
  if (failures > 0) {
    const backoff = interval * 2 ** Math.min(failures - 1, 10);
    return Math.min(MAX_BACKOFF, backoff) * (0.5 + random / 2);
  }
  return watchDuration(fleetSize) > 0
    ? PAUSE_BETWEEN_WATCHES
    : interval * (1 - JITTER + 2 * JITTER * random);
}

function pollInterval(fleetSize: number): number {
  const spaced = (fleetSize / POLLS_PER_SECOND) * 1000;
  return Math.min(MAX_INTERVAL, Math.max(MIN_INTERVAL, spaced));
}

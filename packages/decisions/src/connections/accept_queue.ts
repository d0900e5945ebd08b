/** Length of the queue of connections that wait to be accepted. @module */

/**
 * Connections that wait, for each processor core. A core accepts several hundred
 * connections with a request a second, so that the last one waits for less than
 * half a second.
 */
const CONNECTIONS_PER_CORE = 128;
const MINIMUM_LENGTH = 16;

/**
 * Returns the maximum number of connections that wait. Callers give up a request
 * that has not been read for a second. With a longer queue, an entry that gets
 * more connections than it can handle would only read requests whose callers
 * have left; with this one they connect to another entry.
 */
export function acceptQueueLength(cores: number): number {
  // One process accepts on one core.
  const length = Math.round(Math.min(1, cores) * CONNECTIONS_PER_CORE);
  return Math.max(MINIMUM_LENGTH, length);
}

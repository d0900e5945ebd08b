/**
 * Schedules heartbeats to peers and sets the timeouts for detecting their loss.
 *
 * With a fixed rate between all pairs of entries, the cost to each entry grows
 * with the fleet. Fast failure detection is needed only between grant peers:
 * two entries of which one grants for the other. Grant peers exchange
 * heartbeats every round unless other messages were sent recently. All other
 * peers are served round-robin, a fixed number per round, and each heartbeat
 * states the maximum time until the next one.
 * @module
 */

/** Milliseconds between heartbeat rounds. */
export const HEARTBEAT_EVERY = 200;
/** Milliseconds of silence after which the link to a grant peer is closed. */
export const SILENT_AFTER = 700;
/** Milliseconds of silence of the granting entry until peers are probed. */
export const SUSPECTED_AFTER = 400;
/** Peers other than grant peers that receive a heartbeat per round. */
const ROUND_ROBIN_BATCH = 2;
/** Milliseconds without sending after which a grant peer needs a heartbeat. */
const IDLE_BEFORE_HEARTBEAT = 100;
/**
 * Maximum milliseconds between heartbeats to a grant peer, whatever else is
 * sent: they state how long ago the store responded.
 */
const MAXIMUM_INTERVAL = 1000;
/** Round-robin intervals that may pass without a heartbeat. */
const TOLERATED_INTERVALS = 2;

/** Input to the selection of a round's recipients; times in milliseconds. */
export type HeartbeatPeer = {
  name: string;
  /** One of the two entries grants for the other. */
  grantPeer: boolean;
  /** Time of the last message, and of the last heartbeat, sent to the peer. */
  sentAt: number;
  heartbeatAt: number;
  /** The content of that heartbeat is unchanged. */
  upToDate: boolean;
};

/** Returns the names of the peers that receive a heartbeat in this round. */
export function heartbeatRecipients(
  peers: readonly HeartbeatPeer[],
  now: number,
): string[] {
  const grantPeers = peers.filter((peer) => peer.grantPeer)
    .filter(({ upToDate, sentAt, heartbeatAt }) =>
      !upToDate || now - sentAt >= IDLE_BEFORE_HEARTBEAT ||
      now - heartbeatAt > MAXIMUM_INTERVAL
    );
  const others = peers.filter((peer) => !peer.grantPeer)
    .sort((one, other) => one.heartbeatAt - other.heartbeatAt)
    .slice(0, ROUND_ROBIN_BATCH);
  return [...grantPeers, ...others].map(({ name }) => name);
}

/** Maximum milliseconds between round-robin heartbeats to each of `peers`. */
export function roundRobinInterval(peers: number): number {
  const rounds = Math.ceil(peers / ROUND_ROBIN_BATCH);
  return Math.max(1, rounds) * HEARTBEAT_EVERY;
}

/** Milliseconds of silence after which a peer with this `interval` is lost. */
export function silenceLimit(interval: number): number {
  const roundRobinLimit = TOLERATED_INTERVALS * interval + SILENT_AFTER;
  return interval <= HEARTBEAT_EVERY ? SILENT_AFTER : roundRobinLimit;
}

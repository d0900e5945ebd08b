/**
 * Use of servers that are excluded for slowness alone.
 *
 * A slow response is worth more to a caller than a refusal, as long as it is
 * complete in time. So such a server is sent the requests for which no other
 * server has a slot.
 * @module
 */
import type { OutlierEjection } from "../ejection/mod.ts";
import type { GrantRequest } from "./grant_request.ts";
import type { PooledServer } from "./pooled_server.ts";
import type { PoolSnapshot } from "./server_selection.ts";

/**
 * Returns the free servers that are excluded only for slowness and that are
 * expected to complete the response before the request's deadline.
 */
export function slowServersFor(
  { cost, deadline }: GrantRequest,
  { free, latencyRatios }: PoolSnapshot,
  ejection: OutlierEjection,
  now: number,
): Map<string, PooledServer> {
  const servers = new Map<string, PooledServer>();
  for (const name of ejection.excluded) {
    const server = free.get(name);
    if (server === undefined || !ejection.isOnlySlow(name)) continue;
    const runTime = server.expectedFirstTokenTime(cost, latencyRatios, now) +
      server.expectedDecodeTime(cost, latencyRatios, now);
    if (now + runTime <= deadline) servers.set(name, server);
  }
  return servers;
}

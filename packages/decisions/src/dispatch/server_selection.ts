/** Selects the server that a request is sent to. @module */
import type { SuspectVerdict } from "../suspects/mod.ts";
import { mayRunIn } from "./grant_request.ts";
import type { GrantRequest } from "./grant_request.ts";
import type { PooledServer, ServiceLatencyRatios } from "./pooled_server.ts";

/**
 * Milliseconds by which a server in another data centre must be faster to be
 * preferred, since traffic between data centres costs money.
 */
const REMOTE_PENALTY = 60;
/**
 * Weight of the expected decode time in the selection of a server: a slot of a
 * fast server is free again sooner.
 */
const DECODE_WEIGHT = 0.1;

/** Input to the selection of servers, computed once per pass over the queue. */
export type PoolSnapshot = {
  latencyRatios: ServiceLatencyRatios;
  /** Largest prefill limit of the servers, in tokens. */
  largestPrefillLimit: number;
  /** Servers with a free slot; under load these are few of many. */
  free: Map<string, PooledServer>;
};

/** What else the selection depends on. */
export type SelectionInputs = {
  snapshot: PoolSnapshot;
  /** Of the request. */
  verdict: SuspectVerdict;
  /** See {@link PooledServer.admitsSuspect}. */
  crashesOf: (fingerprints: readonly string[]) => number;
  /** False for a server that is ejected. */
  isAllowed: (server: string) => boolean;
  now: number;
};

/**
 * Returns the free server that is expected to respond soonest. A suspect is
 * sent where the next crash will show its cause, and preferably not to a server
 * that has crashed while it ran it, as that server may be at fault.
 */
export function selectServer(
  request: GrantRequest,
  inputs: SelectionInputs,
): string | undefined {
  const { snapshot, verdict, crashesOf } = inputs;
  if (verdict.kind !== "suspect") {
    return fastestOf(snapshot.free, request, inputs);
  }
  const free = [...snapshot.free].filter(([, server]) =>
    server.admitsSuspect(verdict.crashes, crashesOf)
  );
  const others = free.filter(([, server]) =>
    !verdict.servers.includes(server.address)
  );
  return fastestOf(others, request, inputs) ??
    fastestOf(free, request, inputs);
}

function fastestOf(
  servers: Iterable<[string, PooledServer]>,
  request: GrantRequest,
  { snapshot, isAllowed, now }: SelectionInputs,
): string | undefined {
  let best: string | undefined;
  let bestScore = Infinity;
  for (const [name, server] of servers) {
    if (request.excludedServers.includes(name)) continue;
    if (!mayRunIn(request, server.record.dataCentre)) continue;
    if (!server.admits(request, snapshot, now)) continue;
    if (!isAllowed(name)) continue;
    const score = scoreOf(server, request, snapshot.latencyRatios, now);
    if (score < bestScore) {
      bestScore = score;
      best = name;
    }
  }
  return best;
}

/** Expected milliseconds, weighted; the server with the lowest is selected. */
function scoreOf(
  server: PooledServer,
  { cost, dataCentre }: GrantRequest,
  latencyRatios: ServiceLatencyRatios,
  now: number,
): number {
  const isLocal = server.record.dataCentre === dataCentre;
  return server.expectedFirstTokenTime(cost, latencyRatios, now) +
    DECODE_WEIGHT * server.expectedDecodeTime(cost, latencyRatios, now) +
    (isLocal ? 0 : REMOTE_PENALTY);
}

/** Selects the server that a request is sent to. @module */
import { ServerOffers } from "../balance/mod.ts";
import { ISOLATED_FROM } from "../suspects/mod.ts";
import type { SuspectVerdict } from "../suspects/mod.ts";
import { mayRunIn } from "./grant_request.ts";
import type { GrantRequest } from "./grant_request.ts";
import type { SuspectRestriction } from "./suspect_exposure.ts";
import type { GrantedRun } from "./unresolved_runs.ts";
import type { KeptRequests } from "./data_centre_selection.ts";
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

/**
 * Crashes from which on a suspect is sent only to a server that has responded to
 * all it runs, so that a crash of unknown time must be one during its run.
 */
const CONCLUSIVE_FROM = 3;

/** Input to the selection of servers, computed once per pass over the queue. */
export type PoolSnapshot = {
  latencyRatios: ServiceLatencyRatios;
  /** Largest prefill limit of the servers, in tokens. */
  largestPrefillLimit: number;
  /** Whether the decisions for uneven load apply. */
  isAdaptive: boolean;
  /** Servers with a free slot; under load these are few of many. */
  free: Map<string, PooledServer>;
  /** Fraction of the servers' slots that the group uses. */
  room: number;
  /** Requests that wait for their data centre although others are free. */
  kept: KeptRequests;
};

/** What else the selection depends on. */
export type SelectionInputs = {
  snapshot: PoolSnapshot;
  /** Of the request. */
  verdict: SuspectVerdict;
  /** Crashes for which a request with these fingerprints is a suspect now. */
  crashesOf: (fingerprints: readonly string[]) => number;
  /** See {@link UnresolvedRuns}. */
  unresolvedRuns: (server: string) => readonly GrantedRun[];
  /** Whether a server has runs without a response. */
  isSilent: (name: string, server: PooledServer) => boolean;
  /** Where suspects may run, if that is restricted. */
  restriction: SuspectRestriction | undefined;
  /** False for a server that is ejected, or whose version gets no request. */
  isAllowed: (name: string, server: PooledServer) => boolean;
  /**
   * Chooses between the best servers of the data centres; absent if
   * {@link REMOTE_PENALTY} applies. `startsAt` of the offers does not contain
   * the latency between data centres.
   */
  chooseDataCentre?: ((offers: ServerOffers) => string | undefined) | undefined;
  now: number;
};

/**
 * Returns the free server that is expected to respond soonest. A suspect is
 * sent where the next crash will show its cause, and preferably not to a server
 * that has crashed while it ran it, as that server may be at fault, or to one
 * that may have ended already.
 */
export function selectServer(
  request: GrantRequest,
  inputs: SelectionInputs,
): string | undefined {
  const { snapshot, verdict, now } = inputs;
  if (verdict.kind !== "suspect") {
    const { chooseDataCentre } = inputs;
    return chooseDataCentre === undefined
      ? fastestOf(snapshot.free, request, inputs)
      : chooseDataCentre(offersFor(request, inputs));
  }
  const isResponding = ([name, server]: [string, PooledServer]) =>
    !inputs.isSilent(name, server);
  const { addresses } = inputs.restriction ?? {};
  const free = [...snapshot.free].filter(([name, server]) =>
    (addresses?.has(server.address) ?? true) &&
    admitsSuspect(
      verdict.crashes,
      [...server.runs, ...inputs.unresolvedRuns(name)],
      inputs,
    )
  );
  const candidates = verdict.crashes >= CONCLUSIVE_FROM
    ? free.filter(isResponding)
    : free;
  const others = candidates.filter(([, server]) =>
    !verdict.servers.includes(server.address)
  );
  const isUp = (entry: [string, PooledServer]) =>
    isResponding(entry) && entry[1].hasBeenUpLately(now);
  return fastestOf(others.filter(isUp), request, inputs) ??
    fastestOf(others, request, inputs) ??
    fastestOf(candidates, request, inputs);
}

/**
 * False if a suspect of this number of crashes, or one among the runs of a
 * server, has to be the only suspect there.
 */
function admitsSuspect(
  crashes: number,
  runs: readonly GrantedRun[],
  { crashesOf, restriction }: SelectionInputs,
): boolean {
  const isolatedFrom = restriction === undefined ? ISOLATED_FROM : 0;
  return runs.every(({ fingerprints, suspects }) => {
    const runCrashes = crashesOf(fingerprints);
    if (suspects.length === 0 && runCrashes === 0) return true;
    return Math.max(runCrashes, crashes) < isolatedFrom;
  });
}

function fastestOf(
  servers: Iterable<[string, PooledServer]>,
  request: GrantRequest,
  inputs: SelectionInputs,
): string | undefined {
  const { snapshot, now } = inputs;
  let best: string | undefined;
  let bestScore = Infinity;
  for (const [name, server] of servers) {
    if (!isSuitable(name, server, request, inputs)) continue;
    const isLocal = server.record.dataCentre === request.dataCentre;
    const score = scoreOf(server, request, snapshot.latencyRatios, now) +
      (isLocal ? 0 : REMOTE_PENALTY);
    if (score < bestScore) {
      bestScore = score;
      best = name;
    }
  }
  return best;
}

/** The best free server of each data centre. */
function offersFor(
  request: GrantRequest,
  inputs: SelectionInputs,
): ServerOffers {
  const { snapshot, now } = inputs;
  const { latencyRatios, room } = snapshot;
  const offers = new ServerOffers(request.latencyGoalAt);
  for (const [name, server] of snapshot.free) {
    if (server.record.dataCentre === request.dataCentre) {
      offers.recordHomeServer(
        server.fitsPrompt(request.cost, snapshot, now),
      );
    }
    if (!isSuitable(name, server, request, inputs)) continue;
    const { slots, dataCentre } = server.record;
    offers.add({
      dataCentre,
      server: name,
      score: scoreOf(server, request, latencyRatios, now),
      startsAt: now +
        server.expectedFirstTokenTime(request.cost, latencyRatios, now),
      free: Math.max(1, slots * room - server.running),
    });
  }
  return offers;
}

/** Whether a free server may be sent the request. */
function isSuitable(
  name: string,
  server: PooledServer,
  request: GrantRequest,
  { snapshot, isAllowed, now }: SelectionInputs,
): boolean {
  if (request.excludedServers.includes(name)) return false;
  if (!mayRunIn(request, server.record.dataCentre)) return false;
  return server.admits(request, snapshot, now) && isAllowed(name, server);
}

/** Expected milliseconds, weighted; the server with the lowest is selected. */
function scoreOf(
  server: PooledServer,
  { cost }: GrantRequest,
  latencyRatios: ServiceLatencyRatios,
  now: number,
): number {
  return server.expectedFirstTokenTime(cost, latencyRatios, now) +
    DECODE_WEIGHT * server.expectedDecodeTime(cost, latencyRatios, now);
}

import type {
  GrantDecision,
  GrantRequest,
  ServiceScheduler,
} from "../src/mod.ts";

let number = 0;
/** Returns a grant request with defaults for tests, changed by `changes`. */
export function grantRequest(
  changes: Partial<GrantRequest> = {},
): GrantRequest {
  number++;
  const arrived = changes.arrived ?? 0;
  return {
    id: `request-${number}`,
    entry: "entry-1",
    service: "assistant",
    tierRank: 0,
    routeRank: 0,
    organisation: "firm",
    dataCentre: "a",
    cost: { promptTokens: 600, outputTokens: 200 },
    charge: 800,
    arrived,
    latencyGoalAt: arrived + 600,
    expiresAt: arrived + 2000,
    deadline: arrived + 12_000,
    fingerprint: `print-${number}`,
    promptParts: [],
    jitter: 0.5,
    excludedServers: [],
    ...changes,
  };
}

/** Returns the ids of the granted requests, in order. */
export function grantedIds(decisions: GrantDecision[]): string[] {
  return decisions.filter(({ kind }) => kind === "grant")
    .map(({ request }) => request.id);
}

/**
 * Submits `requests` at 0 and serves them one at a time, 10 ms each, after
 * `running` has ended. Returns their ids in the order of the grants.
 */
export function grantOrder(
  scheduler: ServiceScheduler,
  running: GrantRequest,
  requests: GrantRequest[],
): string[] {
  for (const request of requests) scheduler.submit(request, 0);
  const order: string[] = [];
  let last = running.id;
  for (let now = 10; order.length < requests.length; now += 10) {
    scheduler.recordEnd(last, "answered", now);
    const [next] = grantedIds(scheduler.decide(now));
    if (next === undefined) break;
    order.push(next);
    last = next;
  }
  return order;
}

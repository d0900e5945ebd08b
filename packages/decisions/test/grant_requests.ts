import type {
  GrantDecision,
  GrantRequest,
  ServiceScheduler,
} from "../src/mod.ts";

let number = 0;
/** An ask of tests, changed where one needs it. */
export function ask(changes: Partial<GrantRequest> = {}): GrantRequest {
  number++;
  const arrived = changes.arrived ?? 0;
  return {
    id: `ask-${number}`,
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
    jitter: 0.5,
    excludedServers: [],
    ...changes,
  };
}

/** Ids of the asks that were granted, in order. */
export function granted(verdicts: GrantDecision[]): string[] {
  return verdicts.filter(({ kind }) => kind === "grant")
    .map(({ request: ask }) => ask.id);
}

/** Serves `asks` one at a time from 0 on, each in 10 ms; gives the order. */
export function orderOf(
  desk: ServiceScheduler,
  running: GrantRequest,
  asks: GrantRequest[],
): string[] {
  for (const one of asks) desk.submit(one, 0);
  const order: string[] = [];
  let last = running.id;
  for (let now = 10; order.length < asks.length; now += 10) {
    desk.recordEnd(last, "answered", now);
    const [next] = granted(desk.decide(now));
    if (next === undefined) break;
    order.push(next);
    last = next;
  }
  return order;
}

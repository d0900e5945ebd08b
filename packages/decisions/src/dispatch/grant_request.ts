/** A request for a backend server, as the granting entry sees it. @module */
import type { Cost } from "../queueing/mod.ts";

/**
 * Times are milliseconds of the granting entry's own clock. The request itself,
 * with its body, stays with the entry that asks.
 */
export type GrantRequest = {
  /** Unique among all asks: the asking entry's incarnation and a number. */
  id: string;
  /** Instance name of the entry that asks. */
  entry: string;
  service: string;
  tierRank: number;
  /** Of the route, among requests of one tier; 0 is the most urgent. */
  routeRank: number;
  /** Empty where the route is open to all. */
  organisation: string;
  dataCentre: string;
  /** Tokens of the prompt, and those that the answer is expected to have. */
  cost: Cost;
  /** What the organisation's quota is charged, in tokens. */
  charge: number;
  arrived: number;
  /** Instant by which the first answer is on time. */
  latencyGoalAt: number;
  /** Instant after which a grant is of no use any more. */
  expiresAt: number;
  /** Instant by which the answer must be whole. */
  deadline: number;
  /** The same for each try of one request by its caller. */
  fingerprint: string;
  /** In [0, 1): spreads what is asked of several callers at once. */
  jitter: number;
  /** Servers that this request was sent to before. */
  excludedServers: readonly string[];
};

/** Why an ask was turned away; none of them has run for it. */
export type GrantRefusalReason = "quota" | "overload" | "no_server" | "expired";

/**
 * Whether an ask can be on time, and whether its caller was refused before.
 */
export type AskStanding = "timely" | "returned" | "late";

/** What the entry that refuses an ask saw, to explain it afterwards. */
export type RefusalInputs = {
  /** Free places of the service's servers, and asks that wait for them. */
  free: number;
  waiting: number;
  /** Milliseconds until the organisation's quota allows the ask. */
  quotaWait: number;
  /** While it waited; absent if the ask was never queued. */
  standing?: AskStanding | undefined;
};

/** What became of an ask. */
export type GrantDecision =
  | { kind: "grant"; request: GrantRequest; server: string }
  | {
    kind: "refuse";
    request: GrantRequest;
    reason: GrantRefusalReason;
    retryAfter: number;
    inputs: RefusalInputs;
  };

/** How a granted request ended at its server. */
export type RunOutcome =
  /** A whole answer. */
  | "answered"
  /** The server answered with a failure of its own. */
  | "failed"
  /** No connection could be opened: refused at once. */
  | "connection_refused"
  /** No connection could be opened in time. */
  | "connection_timeout"
  /** The connection broke, or what came was no whole answer. */
  | "broken"
  /** The server said that it did not run the request. */
  | "not_run"
  /** Another server answered at the address, and did not run the request. */
  | "misdirected"
  /** The caller left, or the time was up. */
  | "abandoned";

/**
 * Requests for a slot at a backend server, and the decisions on them.
 * @module
 */
import type { Appointment } from "../appointments/mod.ts";
import type { Cost } from "../queueing/mod.ts";

/**
 * A request for a slot at a backend server. Times are milliseconds of the
 * granting entry's own clock. The HTTP request itself, with its body, stays
 * with the entry that sends the grant request.
 */
export type GrantRequest = {
  /** Unique in the fleet: the requesting entry's incarnation and a number. */
  id: string;
  /** Instance name of the requesting entry. */
  entry: string;
  service: string;
  tierRank: number;
  /** Rank of the route among requests of one tier; 0 is the most urgent. */
  routeRank: number;
  /** Name of the route; absent if it is unknown. */
  route?: string | undefined;
  /** Empty if the route is open to all. */
  organisation: string;
  dataCentre: string;
  /** Prompt tokens, and the expected number of response tokens. */
  cost: Cost;
  /** Tokens that are charged to the organisation's quota. */
  charge: number;
  arrived: number;
  /** Time by which the response has to start to meet its latency goal. */
  latencyGoalAt: number;
  /** Time after which a grant can no longer be used. */
  expiresAt: number;
  /** Time by which the response has to be complete. */
  deadline: number;
  /** Identical for all attempts of callers to send the same request. */
  fingerprint: string;
  /**
   * Fingerprints of the parts of its prompt that other requests may share; see
   * `PROMPT_PART_PREFIX`.
   */
  promptParts: readonly string[];
  /**
   * Random number in [0, 1) that varies the retry delay, so that callers that
   * are refused together do not retry together.
   */
  jitter: number;
  /** Servers that have been tried for this request and must not be selected. */
  excludedServers: readonly string[];
  /** Longest pause between events that the caller accepts, if it states one. */
  pauseGoal?: number | undefined;
  /**
   * Tokens of a server's memory that it needs at most: the prompt and the
   * largest output that the caller allows. Earlier versions don't state them.
   */
  memoryTokens?: number | undefined;
  /** Size of the body; 0 if absent. */
  bodyBytes?: number | undefined;
  /** Data centres in which it may run; any if absent. */
  allowedDataCentres?: readonly string[] | undefined;
};

/** Whether a request may run at a server in this data centre. */
export function mayRunIn(
  { allowedDataCentres }: Pick<GrantRequest, "allowedDataCentres">,
  dataCentre: string,
): boolean {
  return allowedDataCentres === undefined ||
    allowedDataCentres.includes(dataCentre);
}

/** All fingerprints of a request, that of the whole request first. */
export function fingerprintsOf(
  { fingerprint, promptParts }: Pick<
    GrantRequest,
    "fingerprint" | "promptParts"
  >,
): string[] {
  return [fingerprint, ...promptParts];
}

/** Whether a run ended without a complete response. */
export function isInterrupted(outcome: RunOutcome): boolean {
  return outcome === "broken" || outcome === "crashed" ||
    outcome === "abandoned";
}

/** Why a request was refused. No server has run it. */
export type GrantRefusalReason =
  | "quota"
  | "overload"
  | "no_server"
  | "expired"
  /** No server of the service has enough memory, even without other requests. */
  | "too_large"
  /** No capacity will be free for it before it has to return. */
  | "no_capacity"
  /** The request crashes the servers that run it. */
  | "quarantined";

/**
 * Standing of a waiting request: `appointed` if its caller was refused and
 * returns at its appointment, `returned` if it is another retry, otherwise
 * `timely` if it can still meet its latency goal, or `late`.
 */
export type RequestStanding = "timely" | "appointed" | "returned" | "late";

/** The state that a refusal was based on, for logs. */
export type RefusalInputs = {
  /** Free slots of the service's servers, and requests that wait for them. */
  free: number;
  waiting: number;
  /** Milliseconds until the organisation's quota allows the request. */
  quotaWait: number;
  /** Standing of the request; absent if it was never queued. */
  standing?: RequestStanding | undefined;
  /** When the caller is to return; absent if no capacity is promised to it. */
  appointment?: Appointment | undefined;
  /** Slots that the forecast leaves free for it, and the forecast's age. */
  forecastFree?: number | undefined;
  forecastAge?: number | undefined;
};

/** The decision on a grant request; `retryAfter` is in milliseconds. */
export type GrantDecision =
  | { kind: "grant"; request: GrantRequest; server: string }
  | {
    kind: "refuse";
    request: GrantRequest;
    reason: GrantRefusalReason;
    retryAfter: number;
    inputs: RefusalInputs;
  };

/** How the run of a granted request ended. */
export type RunOutcome =
  /** The response was complete. */
  | "answered"
  /** The server responded with an error of its own. */
  | "failed"
  /** The connection was refused. */
  | "connection_refused"
  /** No connection was established in time. */
  | "connection_timeout"
  /** The connection broke, or the response was incomplete or malformed. */
  | "broken"
  /** The connection broke, and the server refuses new ones. */
  | "crashed"
  /** The server stated that it did not run the request. */
  | "not_run"
  /** Another server responded at the address and did not run the request. */
  | "misdirected"
  /** The caller disconnected, or the deadline passed. */
  | "abandoned";

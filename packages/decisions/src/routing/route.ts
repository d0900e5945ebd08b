/** What a route says about the requests it matches. @module */

/** Whether a request may reach backend servers more than once. */
export type Repeatability =
  /** Running it twice changes nothing. */
  | "idempotent"
  /** Runs once at most. */
  | "non_idempotent"
  /** A stream of events; once at most, unless it can be resumed. */
  | "streaming";

/** One way from a route to a service; weights are relative. */
export type RouteTarget = { service: string; weight: number };

/** Requests of one host below one path prefix. */
export type Route = {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  repeatability: Repeatability;
  targets: readonly RouteTarget[];
  /** Longest that a caller is kept, in milliseconds from its arrival. */
  timeout: number;
  /** Milliseconds within which the (first) answer is on time. */
  latencyGoal: number;
  /** 0 is served first. */
  tierRank: number;
  /** Most backend servers that one request may be sent to. */
  maximumServers: number;
  /** No credential is asked for. */
  allowsAnonymous: boolean;
  /** An interrupted stream may go on at another backend server. */
  resumable: boolean;
  /** Longest pause between events that is still on time, in milliseconds. */
  pauseGoal: number | undefined;
};

/** True when sending a request a second time can do no harm. */
export function isRepeatable(route: Route): boolean {
  return route.repeatability === "idempotent" ||
    (route.repeatability === "streaming" && route.resumable);
}

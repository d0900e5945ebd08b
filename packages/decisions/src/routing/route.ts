/** The configuration of a route. @module */

/** Whether a request may be sent to backend servers more than once. */
export type Repeatability =
  /** Repeated execution has no further effect. */
  | "idempotent"
  /** Executed at most once. */
  | "non_idempotent"
  /** An event stream; executed at most once unless it can be resumed. */
  | "streaming";

/** A service that receives a route's requests; weights are relative. */
export type RouteTarget = { service: string; weight: number };

/** A route matches the requests to one host below one path prefix. */
export type Route = {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  repeatability: Repeatability;
  targets: readonly RouteTarget[];
  /**
   * Maximum milliseconds that a caller is kept waiting, from the arrival of its
   * request.
   */
  timeout: number;
  /** Milliseconds within which the response should start. */
  latencyGoal: number;
  /** Priority tier; 0 is served first. */
  tierRank: number;
  /** Maximum number of backend servers that one request may be sent to. */
  maximumServers: number;
  /** No credential is required. */
  allowsAnonymous: boolean;
  /** An interrupted stream may be continued by another backend server. */
  resumable: boolean;
  /** Maximum milliseconds that should pass between two events of a stream. */
  pauseGoal: number | undefined;
  /** Regions in which its requests may run; any if absent. */
  homeRegions?: readonly string[] | undefined;
};

/** Whether a request may safely be sent a second time. */
export function isRepeatable(route: Route): boolean {
  return route.repeatability === "idempotent" ||
    (route.repeatability === "streaming" && route.resumable);
}

/** A request as the bench knows it: what the caller sends and what it costs. @module */

/** A kind of request: its tier, goals and typical size. Times are milliseconds. */
export type RequestClass = {
  name: string;
  tier: string;
  /** 0 is served first. */
  tierRank: number;
  /** Share of requests in the deployment's usual mix. */
  share: number;
  promptTokens: number;
  outputTokens: number;
  /** Deviation of the logarithm of both sizes. */
  spread: number;
  /** Tokens of the prompt that other requests begin with as well. */
  prefixTokens: number;
  /** Number of different prefixes in use. */
  prefixes: number;
  firstTokenGoal: number;
  /** Time from arrival to the caller's giving up. */
  deadline: number;
};

/** One arrival. Only `promptTokens` and below `prefixKey` are known to a policy. */
export type SimulatedRequest = {
  id: number;
  /** Milliseconds of virtual time. */
  arrival: number;
  requestClass: RequestClass;
  organisation: string;
  entry: number;
  promptTokens: number;
  prefixKey: string;
  prefixTokens: number;
  /** Known to the engine only: the answer's length. */
  outputTokens: number;
  fingerprint: string;
  /** Kills each engine that has run it for a moment. */
  crashes: boolean;
  /** Sendings before this one. */
  attempt: number;
  /** Arrived after the warm-up, so that it counts. */
  judged: boolean;
};

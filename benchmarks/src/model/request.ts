/** The simulated requests: what callers send, and what it costs. @module */

/**
 * A class of requests: its tier, goals and mean size. Times are milliseconds.
 */
export type RequestClass = {
  name: string;
  tier: string;
  /** Rank 0 is served first. */
  tierRank: number;
  /** Share of the deployment's requests in its usual mix. */
  share: number;
  promptTokens: number;
  outputTokens: number;
  /**
   * Standard deviation of the logarithm of the output tokens and of the prompt
   * tokens after the prefix.
   */
  spread: number;
  /** Length of the prompt's prefix, which other requests share. */
  prefixTokens: number;
  /** Number of different prefixes. */
  prefixes: number;
  firstTokenGoal: number;
  /** Time from the arrival until the caller gives up. */
  deadline: number;
};

/**
 * One arrival. A policy knows neither `prefixTokens` nor `crashesEngine` nor
 * `counted`, and learns `outputTokens` only from the finished response.
 */
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
  /** Length of the response, known in advance to the engine only. */
  outputTokens: number;
  fingerprint: string;
  /** Whether the request crashes each engine that runs it for a few tokens. */
  crashesEngine: boolean;
  /** Number of times that the request was sent before. */
  attempt: number;
  /** Whether the request is included in the measures: it arrived after warm-up. */
  counted: boolean;
};

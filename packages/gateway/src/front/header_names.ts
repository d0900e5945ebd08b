/** The names under which a platform's callers and servers put things. @module */

/** Header names as sent; they are compared without regard to case. */
export type HeaderNames = {
  /** Names one try of one request; servers echo it. */
  requestId: string;
  credential: string;
  /** Set by the gateway: whose credential it was. */
  organisation: string;
  /** Milliseconds that are left for the request. */
  remainingTime: string;
  /** Set by the gateway: the server that is meant. */
  expectedServer: string;
  /** A server's word that it did not run the request. */
  notRun: string;
  /** Requests a second that a server accepts from all entries together. */
  serverLimit: string;
  /** Marks an answer as a server's own. */
  seal: string;
  /** Prompt tokens and most output tokens. */
  tokenUsage: string;
  /** A caller's estimate of the tokens of its answer. */
  expectedOutputTokens: string;
  /** Where a stream goes on. */
  lastEventId: string;
  /** Headers that only the system itself may set; dropped from callers. */
  reserved: readonly string[];
};

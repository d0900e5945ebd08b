/** Names of the headers that a platform's callers and servers use. @module */

/** Header names as sent; compared case-insensitively. */
export type HeaderNames = {
  /** Identifies one attempt of one request by the caller; servers echo it. */
  requestId: string;
  credential: string;
  /** Set by the gateway: the organisation that the credential belongs to. */
  organisation: string;
  /** Remaining time for the request in milliseconds. */
  remainingTime: string;
  /** Set by the gateway: id of the server that the request is meant for. */
  expectedServer: string;
  /** Set by a server that did not run the request. */
  notRun: string;
  /** Requests per second that a server accepts from all entries together. */
  serverLimit: string;
  /**
   * Requests that a server runs, those that wait there, its slots and, if it
   * says so, how long work takes on its machine in percent of the usual time.
   */
  serverLoad: string;
  /** Set by a server that will stop, on all its responses from then on. */
  serverLeaving: string;
  /** Set by a server on its own responses; those of others lack it. */
  seal: string;
  /** Prompt tokens and maximum output tokens, separated by a comma. */
  tokenUsage: string;
  /** Name of the model that the request is for. */
  model: string;
  /**
   * Parts of the prompt in order, as `id:tokens` entries separated by commas;
   * the last one belongs to the request alone.
   */
  promptParts: string;
  /** A caller's estimate of the output tokens. */
  expectedOutputTokens: string;
  /** Id of the last event received, to resume a stream after it. */
  lastEventId: string;
  /** Headers that only the system may set; dropped from requests of callers. */
  reserved: readonly string[];
};

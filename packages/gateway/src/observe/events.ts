/** Every line that the gateway may log. Durations are milliseconds. @module */

/** One decision, or one change of what the process believes. */
export type LogEvent =
  | { event: "started"; dataCentre: string; startTime: number }
  | { event: "stopping"; active: number; grace: number }
  | { event: "stopped"; cut: number }
  | { event: "reloaded"; changed: boolean; detail: string }
  | { event: "registered"; lease: number }
  | { event: "registration_lapsed"; lease: number }
  | {
    event: "configuration_adopted";
    version: number;
    revision: number;
    from: string;
  }
  | {
    event: "configuration_unreadable";
    revision: number;
    from: string;
    detail: string;
  }
  | { event: "servers_adopted"; from: string; revision: number; count: number }
  | {
    event: "server_changed";
    server: string;
    change: string;
    revision: number;
  }
  | {
    event: "store_call_failed";
    step: string;
    /** What was read or followed; empty for calls about the entry's lease. */
    prefix: string;
    reason: string;
    detail: string;
    /** From its sending until it was given up. */
    time: number;
  }
  /** A peer was asked for newer state, or was sent it. */
  | { event: "state_requested"; state: string; from: string; revision: number }
  | {
    event: "state_sent";
    state: string;
    to: string;
    revision: number;
    /** Bytes as they are sent. */
    size: number;
  }
  | {
    event: "state_unreadable";
    state: string;
    from: string;
    revision: number;
    detail: string;
  }
  | {
    event: "dependency_lost";
    dependency: string;
    detail: string;
    silence: number;
  }
  | { event: "dependency_regained"; dependency: string }
  | {
    event: "group_changed";
    granting: string;
    size: number;
    room: number;
    quota: number;
  }
  | {
    event: "granted";
    request: string;
    server: string;
    waited: number;
    by: string;
    version: number;
    attempt: number;
    organisation: string;
    /** Tokens that its quota is charged. */
    charge: number;
    /**
     * Requests a second that the server stated, the entry that heard it, and how
     * long ago. Absent while it states no limit.
     */
    limit?: number;
    limitBy?: string;
    limitAge?: number;
  }
  /** A server states a limit, or another one than before. */
  | {
    event: "server_limited";
    server: string;
    /** Requests a second, from all entries together. */
    perSecond: number;
    /** The entry that heard it, and how long ago. */
    by: string;
    age: number;
  }
  | { event: "server_limit_ended"; server: string; by: string; age: number }
  /** No decimal number; what was known before stays in force. */
  | { event: "server_limit_unreadable"; server: string; value: string }
  | {
    event: "refused";
    request: string;
    status: number;
    reason: string;
    waited: number;
    retryAfter: number;
    version: number;
    /** Empty where the request was refused before it was placed. */
    organisation?: string;
    tierRank?: number;
    routeRank?: number;
    /** The entry that decided, and what it saw; see `RefusalInputs`. */
    by?: string;
    free?: number;
    waiting?: number;
    quotaWait?: number;
    standing?: string;
    /** Prompt and expected output tokens, and those that its quota is charged. */
    promptTokens?: number;
    outputTokens?: number;
    charge?: number;
  }
  | {
    event: "retried";
    request: string;
    server: string;
    reason: string;
    sent: number;
  }
  | {
    event: "cut";
    request: string;
    server: string;
    reason: string;
    time: number;
  }
  | { event: "left"; request: string; state: string; time: number }
  | {
    event: "answered";
    request: string;
    server: string;
    status: number;
    first: number;
    time: number;
    /** Prompt and most output tokens, and events passed on. */
    promptTokens: number;
    outputTokens: number;
    events: number;
    /** Longest pause between parts of the answer. */
    longestPause: number;
  }
  | {
    event: "load";
    service: string;
    waiting: number;
    running: number;
    places: number;
    granted: number;
    room: number;
    quota: number;
    /** Shares that all entries have together, as this one counts them. */
    fleet: number;
  }
  | { event: "omitted"; of: string; lines: number };

/** All events that the gateway may log; durations in milliseconds. @module */
import type {
  ConnectionEndVerdict,
  CrashEvidence,
  DataCentreState,
  ExclusionCause,
  PlannedShare,
  ResetDetection,
  RolloutOutcome,
  RouteEvidence,
  RunOutcome,
  ServerChange,
  StatePosition,
} from "@sycamorepulley/decisions";
import type { RolloutProgress } from "../rollouts/known_rollouts.ts";

/** What speaks against and for a part of a prompt. */
export type PartEvidence = {
  part: string;
  /** Crashes since its last complete run. */
  crashes: number;
  /** Complete runs lately, also those before the crashes. */
  completeRuns: number;
};

/** A decision, or a change of what the process knows. */
export type LogEvent =
  /**
   * `build`: hash of the bundle that runs; `node`: version of Node.js; `system`:
   * operating system, its release and the processor architecture.
   */
  | {
    event: "started";
    build: string;
    node: string;
    system: string;
    dataCentre: string;
    startTime: number;
  }
  /** `delay`: milliseconds by which the signal may have been handled late. */
  | { event: "stopping"; active: number; grace: number; delay: number }
  /**
   * `cut`: number of requests that were still running; `unsent`: connections
   * that were closed before their response was handed over whole; `time`: since
   * `stopping`; `delay`: longest lateness of a check during the stop.
   */
  | {
    event: "stopped";
    cut: number;
    unsent: number;
    time: number;
    delay: number;
  }
  /**
   * The end of a stop ends a request that was sent to a server. `arrival`: from
   * `stopping` to the request's arrival, negative if it arrived before;
   * `expected`: longest duration that was expected of the stream, absent if it
   * is none; `age`: since the arrival; `remaining`: until its deadline.
   */
  | {
    event: "cut_at_stop";
    request: string;
    arrival: number;
    expected?: number;
    age: number;
    remaining: number;
  }
  /** The gateway repeats the attempt for five seconds, then its start fails. */
  | { event: "address_in_use"; address: string }
  | { event: "reloaded"; changed: boolean; detail: string }
  | { event: "registered"; lease: number; era: number }
  | { event: "registration_lapsed"; lease: number; era: number }
  /** The store did not execute the write that registers the entry. */
  | { event: "registration_refused"; kind: string; era: number }
  /** Another writer has removed or overwritten the entry's key. */
  | { event: "registration_displaced"; revision: number; era: number }
  | {
    event: "configuration_adopted";
    version: number;
    revision: number;
    era: number;
    from: string;
  }
  | {
    event: "configuration_unreadable";
    revision: number;
    era: number;
    from: string;
    detail: string;
  }
  /** It is not newer than the version in force, and changes nothing. */
  | {
    event: "configuration_outdated";
    version: number;
    revision: number;
    era: number;
    from: string;
  }
  | {
    event: "servers_adopted";
    from: string;
    revision: number;
    era: number;
    count: number;
  }
  /** The store was restored from a copy; `from` is the store or a peer. */
  | { event: "store_restored"; era: number; before: number; from: string }
  /** `from` is the store or the peer that it was learned from. */
  | {
    event: "evacuation_started" | "evacuation_ended";
    dataCentre: string;
    revision: number;
    era: number;
    from: string;
  }
  /** The key names no data centre; it is ignored. */
  | { event: "evacuation_unreadable"; revision: number; detail: string }
  /** An order was read, or a peer knows more of it; `from` as above. */
  | {
    event: "rollout_changed" | "rollout_removed";
    service: string;
    target?: string;
    /** From the order to its time limit. */
    duration?: number;
    progress?: RolloutProgress;
    revision: number;
    era: number;
    from: string;
  }
  /** The order can't be read; it is ignored. */
  | {
    event: "rollout_unreadable";
    key: string;
    revision: number;
    detail: string;
  }
  /** The target may get another share of the service's requests. */
  | {
    event: "rollout_stage";
    service: string;
    target: string;
    share: number;
    reason: string;
  }
  /** This entry has come to a conclusion, with its inputs. */
  | {
    event: "rollout_concluded";
    service: string;
    target: string;
    progress: RolloutProgress;
    reason: string;
    share: number;
    evidence: readonly RouteEvidence[];
  }
  /** The store holds another conclusion than this entry knew. */
  | {
    event: "rollout_outcome";
    service: string;
    target: string;
    progress: RolloutProgress;
    before: RolloutProgress;
  }
  | {
    event: "rollout_status_written";
    service: string;
    target: string;
    state: RolloutOutcome;
    revision: number;
    era: number;
  }
  /** `from` is the store or the peer that the change was learned from. */
  | ({ event: "server_changed"; from: string } & ServerChange)
  | {
    event: "store_call_failed";
    step: string;
    /** Prefix that was read or watched; empty for calls about a lease. */
    prefix: string;
    reason: string;
    detail: string;
    /** From the start of the call until it failed. */
    time: number;
  }
  /** Newer state was requested from a peer, or sent to one. */
  | ({ event: "state_requested"; state: string; from: string } & StatePosition)
  | ({
    event: "state_sent";
    state: string;
    to: string;
    /** Bytes as sent. */
    size: number;
  } & StatePosition)
  | ({
    event: "state_unreadable";
    state: string;
    from: string;
    detail: string;
  } & StatePosition)
  | {
    event: "dependency_lost";
    dependency: string;
    detail: string;
    silence: number;
  }
  | { event: "dependency_regained"; dependency: string }
  | {
    event: "group_changed";
    /** The granting entry, and the number of entries in the group. */
    granting: string;
    size: number;
    /** Fractions of capacity and quotas that the entry grants from. */
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
    /** Charge to the quota: tokens, or 1 if the quota counts requests. */
    charge: number;
    /** Fingerprints of the request under which servers have crashed. */
    suspects?: string[];
    /**
     * Requests per second that the server states, the entry that observed it,
     * and the age of the observation. Absent while the server states no limit.
     */
    limit?: number;
    limitBy?: string;
    limitAge?: number;
  }
  /** A server states a limit for the first time, or a changed one. */
  | {
    event: "server_limited";
    server: string;
    /** Requests per second, from all entries together. */
    perSecond: number;
    /** The entry that observed the limit, and the age of the observation. */
    by: string;
    age: number;
  }
  | { event: "server_limit_ended"; server: string; by: string; age: number }
  /** A response said that its server leaves; `by` received it or passed it on. */
  | { event: "server_leaving"; server: string; by: string }
  /**
   * A run ended without a complete response `time` milliseconds after the
   * request was sent; `fingerprint` is that of the whole request.
   */
  | {
    event: "interrupted";
    request: string;
    server: string;
    outcome: RunOutcome;
    fingerprint: string;
    time: number;
    /** Why the response was not complete; absent if the gateway ended it. */
    detail?: string;
  }
  /**
   * Whether resets show at the end of connections on this machine. Until they
   * are known to, no response counts as whole whose end is that of its
   * connection. `detail`: what was found at the ends of the check.
   */
  | { event: "resets_checked"; detection: ResetDetection; detail: string }
  /**
   * A response has ended whose end is that of its connection, and on what
   * evidence it was judged. `silence`: since the last bytes of its body;
   * `events`: times that events of the request were passed on.
   */
  | {
    event: "end_without_length";
    request: string;
    server: string;
    judged: "whole" | "incomplete";
    /** Why it is incomplete. */
    detail?: string;
    /** `closed_here`: the gateway closed the connection. */
    connection: ConnectionEndVerdict | "closed_here";
    /** Whether resets are known to show on this machine. */
    detection?: ResetDetection;
    /** Whether the kernel had an address of the peer. */
    peer?: "known" | "unknown";
    /** What became of a write of no bytes. */
    write?: string;
    /** Code of the error that ended the connection. */
    error?: string;
    /** `refusing`: the server's address refused connections. */
    process: "alive" | "ended" | "unknown" | "refusing" | "not_asked";
    hasAllTokens: boolean;
    events: number;
    silence: number;
  }
  /**
   * The gateway ended a run before its response was complete. `evidence` is
   * what it knew, and `evidenceAge` how long before. `time`: since the request
   * was sent; `started`: whether the caller had received a part of the response.
   */
  | {
    event: "run_closed";
    request: string;
    server: string;
    cause: string;
    evidence: string;
    evidenceAge: number;
    time: number;
    started: boolean;
  }
  /**
   * A second run of a request while the server `silent` sends nothing: `state`
   * is `started`, `won` or `lost`, or `not_granted` if none was sent. `time`:
   * since the arrival of the request.
   */
  | {
    event: "hedge";
    request: string;
    silent: string;
    state: string;
    time: number;
  }
  /**
   * A server crashed while it ran requests with these fingerprints; `suspects`
   * are the fingerprints that had run during a crash before.
   */
  | {
    event: "server_crashed";
    server: string;
    evidence: CrashEvidence;
    running: string[];
    /** Parts of the prompts of these requests. */
    parts: PartEvidence[];
    suspects: string[];
  }
  /**
   * A request, or requests with some prompt parts, are refused for `duration`
   * milliseconds; `servers` crashed last under them.
   */
  | {
    event: "request_quarantined";
    fingerprint: string;
    crashes: number;
    servers: string[];
    duration: number;
  }
  /**
   * A server gets no requests for `duration` milliseconds, then single ones as
   * trials. One that is only slow gets those for which no other has a slot, where
   * the decisions for uneven load apply. `slowness`: measured by expected time to the first token, of the
   * server, and the median over its service.
   */
  | {
    event: "server_excluded";
    server: string;
    cause: ExclusionCause;
    slowness?: number;
    median?: number;
    duration: number;
  }
  | { event: "server_readmitted"; server: string }
  /** A server wants no requests of this entry for `duration` milliseconds. */
  | { event: "server_backoff"; server: string; duration: number }
  /** The value is not a decimal number of seconds; it is ignored. */
  | { event: "server_backoff_unreadable"; server: string; value: string }
  /** The value is no list of three or four integers; it is ignored. */
  | { event: "server_load_unreadable"; server: string; value: string }
  /** The value is not a decimal number; the previous limit stays in force. */
  | { event: "server_limit_unreadable"; server: string; value: string }
  | {
    event: "refused";
    request: string;
    status: number;
    reason: string;
    waited: number;
    retryAfter: number;
    version: number;
    /** Empty if the route requires no credential; absent if not resolved. */
    organisation?: string;
    tierRank?: number;
    routeRank?: number;
    /** Fingerprints of the request that are quarantined together. */
    quarantined?: string[];
    /** The entry that decided, and its inputs; see `RefusalInputs`. */
    by?: string;
    free?: number;
    waiting?: number;
    quotaWait?: number;
    standing?: string;
    /** Milliseconds until the caller's appointment, if it has one. */
    appointment?: number;
    /** Free slots that the forecast leaves, and its age in milliseconds. */
    forecastFree?: number;
    forecastAge?: number;
    /** Prompt tokens, expected output tokens, and charge to the quota. */
    promptTokens?: number;
    outputTokens?: number;
    charge?: number;
  }
  /**
   * No more unread events fit into the memory of the entry, or they do again;
   * `held` and `budget` in bytes, `paused` responses.
   */
  | {
    event: "memory_exhausted" | "memory_available";
    held: number;
    budget: number;
    paused: number;
  }
  | {
    event: "retried";
    request: string;
    server: string;
    reason: string;
    /** Number of servers that may have run the request. */
    sent: number;
  }
  /** A server stated that it did not run the request. */
  | {
    event: "turned_away";
    request: string;
    server: string;
    status: number;
    /** The server's `Retry-After` header, if it sent one. */
    retryAfter?: string;
  }
  | {
    event: "cut";
    request: string;
    server: string;
    reason: string;
    time: number;
  }
  /** The caller disconnected; `state` is `sent` or `waiting`. */
  | { event: "left"; request: string; state: string; time: number }
  | {
    event: "answered";
    request: string;
    server: string;
    status: number;
    /** From the arrival of the request until the first part of the response. */
    first: number;
    time: number;
    /** Prompt tokens, expected output tokens, and times events were sent. */
    promptTokens: number;
    outputTokens: number;
    events: number;
    /** Longest pause between parts of the response. */
    longestPause: number;
  }
  | {
    event: "load";
    service: string;
    waiting: number;
    running: number;
    /** Slots of all servers together. */
    places: number;
    /** Grants in the last second. */
    granted: number;
    /** Fractions of capacity and quotas that the entry grants from. */
    room: number;
    quota: number;
    /** Total shares of all entries, as this one counts them. */
    fleet: number;
    /** See `ServiceLoad`. */
    limitedStarts?: "all" | "cold";
  }
  /**
   * Requests of one tier and route in the last second, while fewer were granted
   * than arrived: all of them, the largest tenth and the fifth below it.
   */
  | {
    event: "size_classes";
    service: string;
    /** Ranks of the tier and the route, as in `refused`. */
    priorityClass: string;
    /** Arrivals without retries, and grants, including those of retries. */
    requests: number;
    granted: number;
    largest: number;
    largestGranted: number;
    large: number;
    largeGranted: number;
  }
  /**
   * A planned share of a data centre's demand has changed by more than a tenth
   * since the last such line; `age`: of the plan, in milliseconds.
   */
  | {
    event: "balance_changed";
    service: string;
    shares: PlannedShare[];
    dataCentres: DataCentreState[];
    age: number;
  }
  | { event: "omitted"; of: string; lines: number };

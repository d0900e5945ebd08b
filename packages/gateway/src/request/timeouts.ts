/** How long a request waits: for a grant, and for a silent server. @module */
import type { Route } from "@sycamorepulley/decisions";
import type { ResolvedRequest } from "./resolve_request.ts";
import type { SilenceTimeouts } from "./silence_watchdog.ts";

/** Minimum remaining milliseconds for a request to be sent to a server. */
export const MIN_REMAINING_TIME = 20;
/**
 * Milliseconds without data after which callers of a stream disconnect: the
 * largest of this, four times the latency goal and eight times the longest
 * allowed pause.
 */
const CALLER_STREAM_TIMEOUT = 2000;
/** That timeout as a multiple of the latency goal. */
const CALLER_STREAM_TIMEOUT_GOALS = 4;
/** That timeout as a multiple of the longest allowed pause. */
const CALLER_STREAM_TIMEOUT_PAUSES = 8;
/** Milliseconds of that timeout that a server needs to send its first event. */
const FIRST_EVENT_RESERVE = 400;
/**
 * Milliseconds of that timeout that are left for another server if the first
 * one is silent and can be reached: for the grant, and for the first event.
 */
const HEDGE_RESERVE = 600;
/**
 * The part of a caller's time for which a plain response may be awaited from a
 * server that can be reached before another one is used as well.
 */
const PLAIN_PATIENCE_FRACTION = 0.5;
/**
 * Silence until the first part after which a server counts as silent, as a
 * multiple of the latency goal. First parts arrive within 0.3 s, as only free
 * slots are granted.
 */
const FIRST_PART_TIMEOUT_GOALS = 2;
/** The same between later parts, as a multiple of the longest allowed pause. */
const NEXT_PART_TIMEOUT_PAUSES = 4;
/** Lower bound of both silences in milliseconds. */
const MIN_SILENCE_TIMEOUT = 400;

/**
 * Maximum fraction of a caller's time that its request waits for a grant. A
 * caller that is refused then can retry and still get a complete response in
 * time.
 */
const MAX_WAIT_FRACTION = 0.25;

/**
 * Instant after which a grant is of no use. `from`: when the caller last
 * received something, or sent its request.
 */
export function grantDeadline(resolved: ResolvedRequest, from: number): number {
  const { route, deadline } = resolved;
  const latest = from + (deadline - from) * MAX_WAIT_FRACTION;
  if (route.repeatability !== "streaming") return deadline - MIN_REMAINING_TIME;
  return Math.min(
    latest,
    from + callerStreamTimeout(route) - FIRST_EVENT_RESERVE,
  );
}

/**
 * Milliseconds without data after which the caller of a request is about to
 * leave. `from`: when it last received something, or sent its request.
 */
export function callerPatience(
  { route, deadline }: ResolvedRequest,
  from: number,
): number {
  return route.repeatability === "streaming"
    ? callerStreamTimeout(route) - HEDGE_RESERVE
    : (deadline - from) * PLAIN_PATIENCE_FRACTION;
}

function callerStreamTimeout({ latencyGoal, pauseGoal }: Route): number {
  return Math.max(
    CALLER_STREAM_TIMEOUT,
    CALLER_STREAM_TIMEOUT_GOALS * latencyGoal,
    CALLER_STREAM_TIMEOUT_PAUSES * (pauseGoal ?? 0),
  );
}

/** Silences of a server that a request of the route tolerates. */
export function silenceTimeouts(route: Route): SilenceTimeouts {
  const { latencyGoal, pauseGoal } = route;
  return {
    firstPart: Math.max(
      MIN_SILENCE_TIMEOUT,
      FIRST_PART_TIMEOUT_GOALS * latencyGoal,
    ),
    nextPart: Math.max(
      MIN_SILENCE_TIMEOUT,
      NEXT_PART_TIMEOUT_PAUSES * (pauseGoal ?? latencyGoal),
    ),
  };
}

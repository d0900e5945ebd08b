/** How long a request waits: for a place, and for a server that is silent. @module */
import type { Route } from "@sycamorepulley/decisions";
import type { ResolvedRequest } from "./resolve_request.ts";
import type { SilenceTimeouts } from "./silence_watchdog.ts";

/** Milliseconds that must be left for a server to be sent anything. */
export const MIN_REMAINING_TIME = 20;
/**
 * Milliseconds after which callers of a stream leave while nothing comes: the
 * longest of this, four times the goal and eight times the longest pause.
 */
const CALLER_STREAM_TIMEOUT = 2000;
const CALLER_STREAM_TIMEOUT_GOALS = 4;
const CALLER_STREAM_TIMEOUT_PAUSES = 8;
/** Milliseconds of that patience that a server needs for a first event. */
const FIRST_EVENT_RESERVE = 400;
/**
 * Silences after which a request that may be repeated is sent elsewhere: goals
 * until the first part, allowed pauses between parts, and their least time in
 * milliseconds. First parts come within 0.3 s of sending, as only free places
 * are granted; callers leave after 2 s.
 */
const FIRST_PART_TIMEOUT_GOALS = 2;
const NEXT_PART_TIMEOUT_PAUSES = 4;
const MIN_SILENCE_TIMEOUT = 400;

/**
 * Part of a caller's time that its request waits for a place at most: refused
 * then, it can come back and still be answered whole.
 */
const MAX_WAIT_SHARE = 0.25;

/** Instant after which a place is of no use; `from`: its caller heard something. */
export function grantDeadline(resolved: ResolvedRequest, from: number): number {
  const { route, deadline: limitAt } = resolved;
  const longest = from + (limitAt - from) * MAX_WAIT_SHARE;
  if (route.repeatability !== "streaming") return limitAt - MIN_REMAINING_TIME;
  const callerTimeout = Math.max(
    CALLER_STREAM_TIMEOUT,
    CALLER_STREAM_TIMEOUT_GOALS * route.latencyGoal,
    CALLER_STREAM_TIMEOUT_PAUSES * (route.pauseGoal ?? 0),
  );
  return Math.min(longest, from + callerTimeout - FIRST_EVENT_RESERVE);
}

/** Silences that a request of the route waits for. */
export function silenceTimeouts(route: Route): SilenceTimeouts {
  const { latencyGoal: goal, pauseGoal: longestPause } = route;
  return {
    firstPart: Math.max(MIN_SILENCE_TIMEOUT, FIRST_PART_TIMEOUT_GOALS * goal),
    nextPart: Math.max(
      MIN_SILENCE_TIMEOUT,
      NEXT_PART_TIMEOUT_PAUSES * (longestPause ?? goal),
    ),
  };
}

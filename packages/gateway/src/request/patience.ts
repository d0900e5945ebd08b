/** How long a request waits: for a place, and for a server that is silent. @module */
import type { Route } from "@sycamorepulley/decisions";
import type { ResolvedRequest } from "./resolve_request.ts";
import type { SilenceLimits } from "./silence_watch.ts";

/** Milliseconds that must be left for a server to be sent anything. */
export const LEAST_TIME_LEFT = 20;
/**
 * Milliseconds after which callers of a stream leave while nothing comes: the
 * longest of this, four times the goal and eight times the longest pause.
 */
const STREAM_PATIENCE = 2000;
const STREAM_PATIENCE_GOALS = 4;
const STREAM_PATIENCE_PAUSES = 8;
/** Milliseconds of that patience that a server needs for a first event. */
const FIRST_EVENT_RESERVE = 400;
/**
 * Silences after which a request that may be repeated is sent elsewhere: goals
 * until the first part, allowed pauses between parts, and their least time in
 * milliseconds. First parts come within 0.3 s of sending, as only free places
 * are granted; callers leave after 2 s.
 */
const SILENT_GOALS = 2;
const SILENT_PAUSES = 4;
const LEAST_SILENCE = 400;

/**
 * Part of a caller's time that its request waits for a place at most: refused
 * then, it can come back and still be answered whole.
 */
const LONGEST_WAIT_PART = 0.25;

/** Instant after which a place is of no use; `from`: its caller heard something. */
export function lapseOf(resolved: ResolvedRequest, from: number): number {
  const { route, deadline: limitAt } = resolved;
  const longest = from + (limitAt - from) * LONGEST_WAIT_PART;
  if (route.repeatability !== "streaming") return limitAt - LEAST_TIME_LEFT;
  const patience = Math.max(
    STREAM_PATIENCE,
    STREAM_PATIENCE_GOALS * route.latencyGoal,
    STREAM_PATIENCE_PAUSES * (route.pauseGoal ?? 0),
  );
  return Math.min(longest, from + patience - FIRST_EVENT_RESERVE);
}

/** Silences that a request of the route waits for. */
export function silenceLimits(route: Route): SilenceLimits {
  const { latencyGoal: goal, pauseGoal: longestPause } = route;
  return {
    first: Math.max(LEAST_SILENCE, SILENT_GOALS * goal),
    between: Math.max(LEAST_SILENCE, SILENT_PAUSES * (longestPause ?? goal)),
  };
}

/**
 * What an entry that stops still takes once its usual time for that is over.
 *
 * All entries may be restarted one after the other, faster than their longest
 * streams end. So that somebody listens at any time, an entry listens for as long
 * as it lives: what surely ends before its process does is served, and all else is
 * told truly that it has not run.
 * @module
 */
import { StreamDurationBound } from "@sycamorepulley/decisions";
import type { ResolvedRequest } from "./resolve_request.ts";

/** Milliseconds before the process's end by which all that it takes has ended. */
const MARGIN = 300;
/** Milliseconds from the end of a process until its successor takes callers. */
const RESTART_TIME = 1000;

/** See the module; instants are those of the process's clock. */
export class DrainAdmission {
  readonly streamDurations = new StreamDurationBound();
  #endAt: number | undefined;

  /** From now on only what ends by `endAt` is taken. */
  start(endAt: number): void {
    this.#endAt = endAt;
  }

  /** Latest instant at which a server may be sent the request. */
  latestStartTime(resolved: ResolvedRequest): number {
    if (this.#endAt === undefined) return Infinity;
    const endAt = this.#endAt - MARGIN;
    if (resolved.deadline <= endAt) return Infinity;
    const { cost } = resolved;
    const bounded = cost.promptTokens > 0;
    return bounded ? endAt - this.streamDurations.upperBound(cost) : -Infinity;
  }

  /** Milliseconds until the successor of this process takes callers. */
  retryAfter(now: number): number {
    return Math.max(0, (this.#endAt ?? now) - now) + RESTART_TIME;
  }
}

/**
 * Decides which requests a draining entry still admits after the first phase of
 * its stop, in which it admits all.
 *
 * All entries may be restarted one after the other, faster than their longest
 * streams end. To keep at least one entry listening at any time, an entry
 * listens for as long as its process lives. It serves the requests that are
 * certain to end before the process does, and refuses all others as not run.
 * @module
 */
import { StreamDurationBound } from "@sycamorepulley/decisions";
import type { ResolvedRequest } from "./resolve_request.ts";

/** Milliseconds before the process's end by which admitted requests end. */
const END_MARGIN = 300;
/** Milliseconds from a process's end until its successor accepts requests. */
const RESTART_TIME = 1000;

/** Admission while draining; instants are those of the process's clock. */
export class DrainAdmission {
  readonly streamDurations = new StreamDurationBound();
  #stoppedAt: number | undefined;
  #endAt: number | undefined;

  /** Records the stop signal. */
  recordStop(now: number): void {
    this.#stoppedAt = now;
  }

  /** Milliseconds from the stop signal to `instant`; 0 without a signal. */
  timeSinceStop(instant: number): number {
    return instant - (this.#stoppedAt ?? instant);
  }

  /** From now on, admits only requests that end by `endAt`. */
  start(endAt: number): void {
    this.#endAt = endAt;
  }

  /** Latest instant at which the request may be sent to a server. */
  latestStartTime(resolved: ResolvedRequest): number {
    if (this.#endAt === undefined) return Infinity;
    const endAt = this.#endAt - END_MARGIN;
    if (resolved.deadline <= endAt) return Infinity;
    const duration = this.expectedDuration(resolved);
    return duration === undefined ? -Infinity : endAt - duration;
  }

  /** Longest duration that is expected of a stream; `undefined` if it is none. */
  expectedDuration({ cost }: ResolvedRequest): number | undefined {
    return cost.promptTokens > 0
      ? this.streamDurations.upperBound(cost)
      : undefined;
  }

  /** Milliseconds until the successor of this process accepts requests. */
  retryAfter(now: number): number {
    return Math.max(0, (this.#endAt ?? now) - now) + RESTART_TIME;
  }
}

/**
 * Decides which requests a draining entry still accepts and sends.
 *
 * An entry listens for as long as its process lives, as all entries may be
 * restarted one after the other. During the first phase of its stop it accepts
 * every request, as the load balancer still sends some. After that it accepts
 * only requests whose deadline comes before the end of the process. All others
 * are refused as not run: how long a stream will take is an estimate, and a
 * wrong one cuts off the response.
 * @module
 */
import { StreamDurationBound } from "@sycamorepulley/decisions";
import type { ResolvedRequest } from "./resolve_request.ts";

/** Milliseconds before the process's end by which accepted requests end. */
const END_MARGIN = 300;
/**
 * Milliseconds after which a refused caller may turn to another entry: its next
 * connection goes there.
 */
const RETRY_ELSEWHERE = 50;
/** Milliseconds from a process's end until its successor accepts requests. */
const RESTART_TIME = 1000;

/** The instants of a stop, by the process's clock. */
export type StopSchedule = {
  /** The stop signal. */
  startedAt: number;
  /** Until then all requests are accepted. */
  acceptsAllUntil: number;
  /** The process ends then at the latest. */
  endsAt: number;
  /** Whether callers use other entries by now. */
  isReplaced: (now: number) => boolean;
};

/** Admission while draining; instants are those of the process's clock. */
export class DrainAdmission {
  readonly streamDurations = new StreamDurationBound();
  #schedule: StopSchedule | undefined;

  /** Starts the stop. */
  start(schedule: StopSchedule): void {
    this.#schedule = schedule;
  }

  /** Milliseconds from the stop signal to `instant`; 0 without a signal. */
  timeSinceStop(instant: number): number {
    return instant - (this.#schedule?.startedAt ?? instant);
  }

  /** Whether to accept a request that has arrived. */
  accepts(resolved: ResolvedRequest, now: number): boolean {
    if (this.#schedule === undefined) return true;
    if (now <= this.#schedule.acceptsAllUntil) return true;
    return resolved.deadline <= this.#schedule.endsAt - END_MARGIN;
  }

  /**
   * Latest instant at which an accepted request that waits may be sent to a
   * server. It was accepted before its place in the queue was known, so that an
   * estimate decides.
   */
  latestStartTime(resolved: ResolvedRequest, now: number): number {
    if (this.#schedule === undefined) return Infinity;
    if (this.accepts(resolved, now)) return Infinity;
    const duration = this.expectedDuration(resolved);
    return duration === undefined
      ? -Infinity
      : this.#schedule.endsAt - END_MARGIN - duration;
  }

  /** Longest duration that is expected of a stream; `undefined` if it is none. */
  expectedDuration({ cost }: ResolvedRequest): number | undefined {
    return cost.promptTokens > 0
      ? this.streamDurations.upperBound(cost)
      : undefined;
  }

  /**
   * Milliseconds until a refused caller should return: another entry or else the
   * successor of this process accepts requests then.
   */
  retryAfter(now: number): number {
    if (this.#schedule?.isReplaced(now) === true) return RETRY_ELSEWHERE;
    const endsAt = this.#schedule?.endsAt ?? now;
    return Math.max(0, endsAt - now) + RESTART_TIME;
  }
}

/** Estimates of the backend server's speed from its responses. @module */
import { DrainRate, ServiceTimeEstimator } from "@sycamorepulley/decisions";
import type { Cost, WaitingQueue } from "@sycamorepulley/decisions";
import type { ReserveMessage } from "@sycamorepulley/protocol";

/** A rank below all tiers, so that estimates include all that waits. */
const LOWEST_RANK = Number.MAX_SAFE_INTEGER;

/** Estimates for one backend server; durations in milliseconds. */
export class SidecarEstimates {
  readonly #serviceTime = new ServiceTimeEstimator();
  readonly #drainRate = new DrainRate();
  readonly #kind: "model" | "plain";
  #meanPlainTime: number | undefined;

  constructor(kind: "model" | "plain") {
    this.#kind = kind;
  }

  /** Returns the time after a grant by which the response likely ends. */
  expectedTime(cost: Cost): number {
    return this.#kind === "model"
      ? this.#serviceTime.conservativeTotal(cost)
      : this.#meanPlainTime ?? 0;
  }

  /**
   * Returns the time within which the whole response must arrive: the caller's
   * remaining time, or less if its first token would miss the goal. Without the
   * second limit a third of all prefill under overload is spent on responses
   * that come too late (docs/DECISIONS.md).
   */
  timeAllowed(reserve: ReserveMessage): number {
    const { cost, remaining, firstTokenRemaining } = reserve;
    if (firstTokenRemaining === undefined) return remaining;
    const decoding = this.#serviceTime.conservativeTotal(cost) -
      this.#serviceTime.conservativeFirstToken(cost);
    return Math.min(remaining, firstTokenRemaining + decoding);
  }

  /** Updates the estimates with a completed response. */
  observe(
    measurement: { cost: Cost; firstToken: number; total: number },
    now: number,
  ): void {
    this.#drainRate.observe(
      measurement.cost.promptTokens + measurement.cost.outputTokens,
      now,
    );
    if (this.#kind === "model") return this.#serviceTime.observe(measurement);
    const mean = this.#meanPlainTime ?? measurement.total;
    this.#meanPlainTime = mean + (measurement.total - mean) / 16;
  }

  /** Returns the time after which a refused request may be retried. */
  retryAfter(queue: WaitingQueue, now: number, random: number): number {
    return this.#drainRate.retryAfter(
      queue.workAhead(LOWEST_RANK),
      now,
      random,
    );
  }

  /** Returns the time that a new reservation of the lowest tier would wait. */
  expectedWait(queue: WaitingQueue, now: number): number {
    return this.#drainRate.expectedWait(queue.workAhead(LOWEST_RANK), now);
  }
}

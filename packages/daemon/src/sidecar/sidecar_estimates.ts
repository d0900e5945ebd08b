/** What a sidecar has learned of its backend server's speed. @module */
import { DrainRate, ServiceTimeEstimator } from "@sycamorepulley/decisions";
import type { Cost, WaitingQueue } from "@sycamorepulley/decisions";
import type { ReserveMessage } from "@sycamorepulley/protocol";

/** Tiers beyond any rank: advice counts all that waits. */
const LOWEST_RANK = Number.MAX_SAFE_INTEGER;

/** Times and rates of one backend server; durations in milliseconds. */
export class SidecarEstimates {
  readonly #serviceTime = new ServiceTimeEstimator();
  readonly #drainRate = new DrainRate();
  readonly #kind: "model" | "plain";
  #meanPlainTime: number | undefined;

  constructor(kind: "model" | "plain") {
    this.#kind = kind;
  }

  /** Time from a grant within which the answer is likely to be whole. */
  expectedTime(cost: Cost): number {
    return this.#kind === "model"
      ? this.#serviceTime.conservativeTotal(cost)
      : this.#meanPlainTime ?? 0;
  }

  /**
   * Time in which the whole answer must come: the caller's, or less where its
   * first token would come too late to be good. Without the second bound a
   * third of all prefill under overload is spent on answers that come late
   * (docs/DECISIONS.md).
   */
  timeAllowed(reserve: ReserveMessage): number {
    const { cost, remaining, firstTokenRemaining } = reserve;
    if (firstTokenRemaining === undefined) return remaining;
    const decoding = this.#serviceTime.conservativeTotal(cost) -
      this.#serviceTime.conservativeFirstToken(cost);
    return Math.min(remaining, firstTokenRemaining + decoding);
  }

  observe(
    served: { cost: Cost; firstToken: number; total: number },
    now: number,
  ): void {
    this.#drainRate.observe(
      served.cost.promptTokens + served.cost.outputTokens,
      now,
    );
    if (this.#kind === "model") return this.#serviceTime.observe(served);
    const known = this.#meanPlainTime ?? served.total;
    this.#meanPlainTime = known + (served.total - known) / 16;
  }

  /** When a refused request may come back. */
  retryAfter(queue: WaitingQueue, now: number, random: number): number {
    return this.#drainRate.retryAfter(
      queue.workAhead(LOWEST_RANK),
      now,
      random,
    );
  }

  /** How long a new reservation of the lowest tier would wait. */
  expectedWait(queue: WaitingQueue, now: number): number {
    return this.#drainRate.expectedWait(queue.workAhead(LOWEST_RANK), now);
  }
}

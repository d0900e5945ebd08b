/** What outlier ejection knows about one backend server. @module */
import { DecayingCount } from "./decaying_count.ts";
import type { ExclusionCause } from "./exclusion_change.ts";
import { UsualSlowness } from "./usual_slowness.ts";

/** Why a call to a server counts as failed. */
export type FailureReason = "error" | "timeout" | "crash";

/** Weight of the newest observation in the average slowness. */
const SLOWNESS_WEIGHT = 0.2;

/** Counts, slowness and ejection state. */
export class ServerHealth {
  readonly counts = new DecayingCount();
  /** Moving average of the measured time divided by the expected time. */
  slowness: number | undefined;
  observations = 0;
  /** Slowness of its responses while it was included. */
  readonly usualSlowness = new UsualSlowness();
  /** Why it was ejected last. */
  cause: ExclusionCause = "failures";
  state: "included" | "ejected" | "trial" = "included";
  /** Consecutive ejections; each lasts twice as long as the previous one. */
  ejections = 0;
  ejectedUntil = 0;
  readmittedAt = Infinity;
  /** Successful calls since the trial began. */
  successfulTrials = 0;
  trialRunningUntil = -Infinity;

  recordSlowness(ratio: number): void {
    this.observations++;
    this.slowness = this.slowness === undefined
      ? ratio
      : this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness);
  }

  resetSlowness(): void {
    this.slowness = undefined;
    this.observations = 0;
  }
}

/** What ejection remembers of one backend server. @module */
import { DecayingCount } from "./decaying_count.ts";

/** Why a server's call counts as failed. */
export type FailureReason = "error" | "timeout" | "crash";

/** Weight of the newest observation in a server's slowness. */
const SLOWNESS_WEIGHT = 0.2;

/** Counts, slowness and the state of leaving out. */
export class ServerRecord {
  readonly counts = new DecayingCount();
  /** Moving average of measured time over expected time. */
  slowness: number | undefined;
  observations = 0;
  state: "included" | "ejected" | "trial" = "included";
  /** Ejections in a row, each lasting twice as long as the one before. */
  ejections = 0;
  ejectedUntil = 0;
  readmittedAt = Infinity;
  /** Clean calls since the trial began. */
  cleanTrials = 0;
  trialRunningUntil = -Infinity;

  observeSlowness(ratio: number): void {
    this.observations++;
    this.slowness = this.slowness === undefined
      ? ratio
      : this.slowness + SLOWNESS_WEIGHT * (ratio - this.slowness);
  }

  forgetSlowness(): void {
    this.slowness = undefined;
    this.observations = 0;
  }
}

/** What operators see of roll-outs: over HTTP, and in metrics. @module */
import type { RolloutReport } from "@sycamorepulley/decisions";
import type {
  RolloutProgressStatus,
  RolloutStatuses,
} from "@sycamorepulley/store";
import type {
  KnownRollout,
  KnownRollouts,
} from "../rollouts/known_rollouts.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Roll-outs as this entry knows them, with what it concludes if it grants. */
export class RolloutView {
  readonly #instance: string;
  readonly #rollouts: KnownRollouts;
  readonly #reports: () => RolloutReport[];
  readonly #era: () => number | undefined;
  readonly #clock: () => number;

  constructor(options: {
    instance: string;
    rollouts: KnownRollouts;
    reports: () => RolloutReport[];
    /** Newest era of the store that is known. */
    era: () => number | undefined;
    clock: () => number;
  }) {
    this.#instance = options.instance;
    this.#rollouts = options.rollouts;
    this.#reports = options.reports;
    this.#era = options.era;
    this.#clock = options.clock;
  }

  statuses(): RolloutStatuses {
    const reports = new Map(
      this.#reports().map((report) => [report.service, report]),
    );
    const rollouts = this.#rollouts.active()
      .map((rollout) => this.#statusOf(rollout, reports.get(rollout.service)));
    return { instance: this.#instance, rollouts };
  }

  /** Updates the gauges, which only the granting entry sets. */
  updateGauges(metrics: GatewayMetrics): void {
    const { rolloutShare, rolloutRuns } = metrics;
    rolloutShare.reset();
    rolloutRuns.reset();
    for (const { service, target, share, evidence } of this.#reports()) {
      rolloutShare.set({ service, version: target }, share);
      for (const { route, from, to } of evidence) {
        for (
          const [version, counts] of [["other", from], [target, to]] as const
        ) {
          for (const result of ["ended", "failed", "slow"] as const) {
            const labels = { service, route, version, result };
            rolloutRuns.set(labels, counts[result]);
          }
        }
      }
    }
  }

  #statusOf(
    rollout: KnownRollout,
    report: RolloutReport | undefined,
  ): RolloutProgressStatus {
    const { service, target, progress, storedEra, orderedAt, duration } =
      rollout;
    const age = Math.max(0, Math.round(this.#clock() - orderedAt));
    const stored = storedEra !== undefined && storedEra === this.#era();
    const status = { service, target, state: progress, stored, age, duration };
    if (report === undefined) return status;
    const { share, reason, evidence } = report;
    return { ...status, conclusion: { share, reason, evidence } };
  }
}

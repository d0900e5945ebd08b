/**
 * Sequential test of whether events (failures, slow calls) occur on the new
 * version more often than its share of the calls explains.
 *
 * If both versions are alike, an event belongs to the new one with the
 * probability of its share among the calls that ended in the same interval, no
 * matter how frequent events are at the time. A fault that affects both
 * versions changes the number of events, but not their distribution. Each event
 * multiplies the evidence by the likelihood ratio of a worse version against an
 * equal one. The evidence is averaged over several alternatives, each of which
 * assumes a ratio of event rates. It may be evaluated after every call: if the
 * versions are alike, the probability that it ever reaches 1000 is below 1 in
 * 1000.
 * @module
 */
import type { CallCounts } from "./evidence.ts";

/**
 * Lower bound of the evidence, as a natural logarithm. Without it, a version
 * that was good for an hour and then turns bad would have to outweigh that hour
 * first. The bound makes false alarms more likely, for which the alarm
 * threshold leaves a margin.
 */
const LOWEST_LOG_EVIDENCE = -Math.log(20);

/** Parameters of the test. */
export type RatioEvidenceOptions = {
  /** Ratio of the event rates, new to old, that is still tolerated. */
  toleratedRatio: number;
  /** Ratios of the event rates that are assumed for a bad version. */
  alternativeRatios: readonly number[];
  /**
   * Events for each call of the old version that are assumed in addition to
   * those observed; 0 by default. Without it, a few events convict the new
   * version if the old one has none at all.
   */
  backgroundRate?: number;
};

/**
 * Evidence that events of one kind are more frequent on the new version, for
 * one route.
 */
export class RatioEvidence {
  readonly #toleratedRatio: number;
  readonly #alternativeRatios: readonly number[];
  readonly #backgroundRate: number;
  readonly #logEvidence: number[];

  constructor(options: RatioEvidenceOptions) {
    this.#toleratedRatio = options.toleratedRatio;
    this.#backgroundRate = options.backgroundRate ?? 0;
    this.#alternativeRatios = options.alternativeRatios;
    this.#logEvidence = options.alternativeRatios.map(() => 0);
  }

  /** Logarithms of the evidence, one for each alternative. */
  get logEvidence(): number[] {
    return [...this.#logEvidence];
  }

  /** Continues from the evidence of another process. */
  restore(logEvidence: readonly number[]): void {
    for (const index of this.#logEvidence.keys()) {
      this.#logEvidence[index] = logEvidence[index] ?? 0;
    }
  }

  /** Adds the calls of one interval. */
  observe(
    from: Pick<CallCounts, "ended">,
    to: Pick<CallCounts, "ended">,
    events: { from: number; to: number },
  ): void {
    const ended = from.ended + to.ended;
    const all = events.from + events.to + this.#backgroundRate * from.ended;
    if (ended === 0 || all === 0) return;
    const share = to.ended / ended;
    const weight = (ratio: number) => ratio * share + 1 - share;
    for (const [index, ratio] of this.#alternativeRatios.entries()) {
      const change = events.to * Math.log(ratio / this.#toleratedRatio) +
        all * Math.log(weight(this.#toleratedRatio) / weight(ratio));
      const log = this.#logEvidence[index]! + change;
      this.#logEvidence[index] = Math.max(log, LOWEST_LOG_EVIDENCE);
    }
  }

  /** Evidence against the new version; 1 is neutral. */
  get evidence(): number {
    const sum = this.#logEvidence.reduce((sum, log) => sum + Math.exp(log), 0);
    return sum / this.#logEvidence.length;
  }
}

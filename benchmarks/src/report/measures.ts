/** Summarises the outcomes of a run. @module */
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { isGood, type Outcome } from "../model/outcome.ts";
import { type Fairness, fairness } from "./fairness.ts";
import { countSheddingViolations } from "./shedding.ts";

/** Measures of one tier. Times are milliseconds. */
export type TierMeasures = {
  tier: string;
  rank: number;
  offered: number;
  /** Number of requests that count towards goodput. */
  good: number;
  firstTokenP50: number;
  firstTokenP99: number;
  /** Numbers of requests without a response, by reason. */
  reasons: Map<string, number>;
};

/** Measures of a run. Tokens are prompt tokens. */
export type Measures = {
  tiers: TierMeasures[];
  offered: number;
  good: number;
  prefilledTokens: number;
  /** Tokens prefilled for requests that don't count towards goodput. */
  lateTokens: number;
  /**
   * Prefix tokens prefilled although another engine had cached them, for
   * requests that count towards goodput.
   */
  repeatedTokens: number;
  sheddingViolations: number;
  fairness: Fairness | undefined;
};

/**
 * Measures the outcomes of the counted requests. Crashing requests are never
 * counted.
 */
export function measure(all: readonly Outcome[]): Measures {
  const outcomes = all.filter((outcome) => outcome.request.counted);
  const tiers = measureTiers(outcomes);
  const measures: Measures = {
    tiers,
    offered: outcomes.length,
    good: tiers.reduce((sum, tier) => sum + tier.good, 0),
    prefilledTokens: 0,
    lateTokens: 0,
    repeatedTokens: 0,
    sheddingViolations: countSheddingViolations(outcomes),
    fairness: fairness(outcomes),
  };
  for (const outcome of outcomes) {
    measures.prefilledTokens += outcome.prefilledTokens;
    if (isGood(outcome)) measures.repeatedTokens += outcome.repeatedTokens;
    else measures.lateTokens += outcome.prefilledTokens;
  }
  return measures;
}

/** Returns late and repeated prefill as a share of all prefill. */
export function wasteShare(measures: Measures): number {
  const { lateTokens, repeatedTokens, prefilledTokens } = measures;
  return (lateTokens + repeatedTokens) / prefilledTokens;
}

function measureTiers(outcomes: readonly Outcome[]): TierMeasures[] {
  const byTier = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const { tier } = outcome.request.requestClass;
    const group = byTier.get(tier);
    if (group === undefined) byTier.set(tier, [outcome]);
    else group.push(outcome);
  }
  return [...byTier.entries()]
    .map(([tier, tierOutcomes]) => measureTier(tier, tierOutcomes))
    .sort((left, right) => left.rank - right.rank);
}

function measureTier(
  tier: string,
  outcomes: readonly Outcome[],
): TierMeasures {
  const firstTokens = createHistogram();
  const reasons = new Map<string, number>();
  for (const { request, firstTokenAt, reason } of outcomes) {
    if (firstTokenAt !== undefined) {
      firstTokens.recordValue(Math.round(firstTokenAt - request.arrival));
    }
    if (reason !== undefined) {
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
  }
  return {
    tier,
    rank: outcomes[0]!.request.requestClass.tierRank,
    offered: outcomes.length,
    good: outcomes.filter(isGood).length,
    firstTokenP50: firstTokens.getValueAtPercentile(50),
    firstTokenP99: firstTokens.getValueAtPercentile(99),
    reasons,
  };
}

function createHistogram(): Histogram {
  return buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

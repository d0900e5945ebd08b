/** What callers received in a run, in figures. @module */
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { isGood, type Outcome } from "../model/outcome.ts";
import { type Fairness, fairness } from "./fairness.ts";
import { sheddingViolations } from "./shedding.ts";

/** One tier's figures; times are milliseconds. */
export type TierMeasures = {
  tier: string;
  rank: number;
  offered: number;
  good: number;
  firstTokenMedian: number;
  firstTokenTail: number;
  /** Requests that were not answered, by reason. */
  reasons: Map<string, number>;
};

/** A run's figures. Tokens are prompt tokens. */
export type Measures = {
  tiers: TierMeasures[];
  offered: number;
  good: number;
  prefilledTokens: number;
  /** Prefilled for requests that were not good. */
  lateTokens: number;
  /** Prefix tokens prefilled again though another engine held them. */
  repeatedTokens: number;
  violations: number;
  fairness: Fairness | undefined;
};

/** Measures the judged outcomes; crashing requests are never judged. */
export function measure(all: readonly Outcome[]): Measures {
  const outcomes = all.filter((one) => one.request.judged);
  const tiers = measureTiers(outcomes);
  const measures: Measures = {
    tiers,
    offered: outcomes.length,
    good: tiers.reduce((sum, one) => sum + one.good, 0),
    prefilledTokens: 0,
    lateTokens: 0,
    repeatedTokens: 0,
    violations: sheddingViolations(outcomes),
    fairness: fairness(outcomes),
  };
  for (const outcome of outcomes) {
    measures.prefilledTokens += outcome.prefilledTokens;
    if (isGood(outcome)) measures.repeatedTokens += outcome.repeatedTokens;
    else measures.lateTokens += outcome.prefilledTokens;
  }
  return measures;
}

/** Prefilled in vain or again, as a share of all that was prefilled. */
export function wasteShare(measures: Measures): number {
  const { lateTokens, repeatedTokens, prefilledTokens } = measures;
  return (lateTokens + repeatedTokens) / prefilledTokens;
}

function measureTiers(outcomes: readonly Outcome[]): TierMeasures[] {
  const byTier = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const { tier } = outcome.request.requestClass;
    const known = byTier.get(tier);
    if (known === undefined) byTier.set(tier, [outcome]);
    else known.push(outcome);
  }
  return [...byTier.entries()]
    .map(([tier, one]) => measureTier(tier, one))
    .sort((left, right) => left.rank - right.rank);
}

function measureTier(
  tier: string,
  outcomes: readonly Outcome[],
): TierMeasures {
  const firstTokens = firstTokenTimes();
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
    firstTokenMedian: firstTokens.getValueAtPercentile(50),
    firstTokenTail: firstTokens.getValueAtPercentile(99),
    reasons,
  };
}

function firstTokenTimes(): Histogram {
  return buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

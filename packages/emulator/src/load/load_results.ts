/** Collects the outcomes of a load's requests. @module */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Outcome of one request of a load. Durations are in milliseconds. */
export type LoadOutcome = {
  /** `answered`, `broken`, `unsent`, the reason of a refusal, or its status. */
  result: string;
  firstByte: number;
  total: number;
};

/** Results of one part of the mix. Durations are in milliseconds. */
export type LoadSummary = {
  part: string;
  sent: number;
  answered: number;
  /** Number of requests with any other result than `answered`, by result. */
  others: Record<string, number>;
  firstByte: Percentiles;
  total: Percentiles;
};

/** Percentiles of a duration in milliseconds. */
export type Percentiles = { p50: number; p99: number };

type PartResults = {
  counts: Map<string, number>;
  firstByte: Histogram;
  total: Histogram;
};

/** Collects outcomes separately for each part of the mix. */
export class LoadResults {
  readonly #parts = new Map<string, PartResults>();

  recordOutcome(part: string, outcome: LoadOutcome): void {
    const results = this.#parts.get(part) ?? this.#create(part);
    const count = results.counts.get(outcome.result) ?? 0;
    results.counts.set(outcome.result, count + 1);
    if (outcome.result === "answered") {
      results.firstByte.recordValue(
        outcome.firstByte * MICROSECONDS_PER_MILLISECOND,
      );
      results.total.recordValue(outcome.total * MICROSECONDS_PER_MILLISECOND);
    }
  }

  summaries(): LoadSummary[] {
    return [...this.#parts].map(([part, results]) => summarise(part, results));
  }

  #create(part: string): PartResults {
    const results = {
      counts: new Map<string, number>(),
      firstByte: build(),
      total: build(),
    };
    this.#parts.set(part, results);
    return results;
  }
}

function summarise(part: string, results: PartResults): LoadSummary {
  const { answered = 0, ...others } = Object.fromEntries(results.counts);
  const sent = [...results.counts.values()].reduce((sum, one) => sum + one, 0);
  return {
    part,
    sent,
    answered,
    others,
    firstByte: percentiles(results.firstByte),
    total: percentiles(results.total),
  };
}

function percentiles(histogram: Histogram): Percentiles {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return { p50: at(50), p99: at(99) };
}

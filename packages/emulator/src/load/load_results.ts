/** What the callers of a load received. @module */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const MICROSECONDS = 1000;

/** How one request of a load ended. Durations are milliseconds. */
export type LoadOutcome = {
  /** `answered`, `broken`, or the reason of the refusal. */
  result: string;
  firstByte: number;
  total: number;
};

/** Counts and percentiles of one part of the mix; milliseconds. */
export type LoadSummary = {
  part: string;
  sent: number;
  answered: number;
  /** Refusals and breaks by reason. */
  others: Record<string, number>;
  firstByte: Percentiles;
  total: Percentiles;
};

/** Milliseconds. */
export type Percentiles = { p50: number; p99: number };

type PartResults = {
  counts: Map<string, number>;
  firstByte: Histogram;
  total: Histogram;
};

/** Collects outcomes by part of the mix. */
export class LoadResults {
  readonly #parts = new Map<string, PartResults>();

  add(part: string, outcome: LoadOutcome): void {
    const results = this.#parts.get(part) ?? this.#create(part);
    const count = results.counts.get(outcome.result) ?? 0;
    results.counts.set(outcome.result, count + 1);
    if (outcome.result === "answered") {
      results.firstByte.recordValue(outcome.firstByte * MICROSECONDS);
      results.total.recordValue(outcome.total * MICROSECONDS);
    }
  }

  summaries(): LoadSummary[] {
    return [...this.#parts].map(([part, results]) => summary(part, results));
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

function summary(part: string, results: PartResults): LoadSummary {
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
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return { p50: at(50), p99: at(99) };
}

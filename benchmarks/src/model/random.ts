/** Seeded random numbers from the distributions that the workloads need. @module */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A random number generator; the same seed gives the same numbers. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Draws a number uniformly from [0, 1). */
  uniform(): number {
    return uniformFloat64(this.#generator);
  }

  /** Draws a number uniformly from [low, high). */
  between(low: number, high: number): number {
    return low + (high - low) * this.uniform();
  }

  /** Draws an integer uniformly from [0, count). */
  index(count: number): number {
    return Math.min(count - 1, Math.floor(this.uniform() * count));
  }

  /** Draws from the exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /**
   * Draws from the log-normal distribution with the given mean; `spread` is the
   * standard deviation of the logarithm.
   */
  logNormal(mean: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return mean * Math.exp(spread * normal - spread * spread / 2);
  }

  /** Draws an index with a probability in proportion to its weight. */
  weightedIndex(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remaining = this.uniform() * total;
    for (const [index, weight] of weights.entries()) {
      remaining -= weight;
      if (remaining < 0) return index;
    }
    return weights.length - 1;
  }
}

/** Seeded draws from the distributions that the workloads need. @module */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** One stream of random numbers; the same seed gives the same stream. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  uniform(): number {
    return uniformFloat64(this.#generator);
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + (high - low) * this.uniform();
  }

  /** Uniform whole number in [0, count). */
  index(count: number): number {
    return Math.min(count - 1, Math.floor(this.uniform() * count));
  }

  /** Exponential with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Log-normal with the given mean; `spread` is the logarithm's deviation. */
  logNormal(mean: number, spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return mean * Math.exp(spread * normal - spread * spread / 2);
  }

  /** Index drawn in proportion to `weights`. */
  weighted(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.uniform() * total;
    for (const [index, weight] of weights.entries()) {
      left -= weight;
      if (left < 0) return index;
    }
    return weights.length - 1;
  }
}

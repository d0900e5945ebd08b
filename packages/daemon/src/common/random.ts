/** Random numbers for choices and jitter; unsuitable for secrets. @module */
import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Exclusive upper bound of the seeds. */
const SEED_LIMIT = 2 ** 31;

/** Creates a generator of numbers in [0, 1) with a random seed. */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(randomInt(SEED_LIMIT));
  return () => uniformFloat64(generator);
}

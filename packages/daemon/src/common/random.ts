/** Random numbers for choices and jitter; not for secrets. @module */
import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const LARGEST_SEED = 2 ** 31;

/** A source of numbers from 0 to 1, seeded apart in each process. */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(randomInt(LARGEST_SEED));
  return () => uniformFloat64(generator);
}

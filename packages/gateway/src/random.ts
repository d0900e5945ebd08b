/** Pseudorandom numbers for choices and jitter; not for secrets. @module */
import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns a generator of numbers in [0, 1) with a random seed. */
export function randomSource(): () => number {
  const generator = xoroshiro128plus(randomInt(2 ** 31));
  return () => uniformFloat64(generator);
}

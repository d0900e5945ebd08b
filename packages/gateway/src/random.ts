/** Random numbers for choices and spreading; not for secrets. @module */
import { randomInt } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Numbers in [0, 1), seeded anew in each process. */
export function randomSource(): () => number {
  const generator = xoroshiro128plus(randomInt(2 ** 31));
  return () => uniformFloat64(generator);
}

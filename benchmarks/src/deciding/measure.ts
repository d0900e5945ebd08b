/** Measures the time of a decision on the machine it runs on. @module */

const ROUNDS = 9;
const WARM_UP_ROUNDS = 3;

/**
 * Returns the median nanoseconds per call over several rounds of `decisions`
 * calls each. The median ignores rounds that were interrupted by another process
 * or by garbage collection.
 */
export function measureNanoseconds(
  decide: (index: number) => void,
  decisions: number,
): number {
  const rounds: number[] = [];
  for (let round = -WARM_UP_ROUNDS; round < ROUNDS; round += 1) {
    const start = process.hrtime.bigint();
    for (let index = 0; index < decisions; index += 1) {
      decide(index);
    }
    const elapsed = Number(process.hrtime.bigint() - start);
    if (round >= 0) {
      rounds.push(elapsed / decisions);
    }
  }
  rounds.sort((left, right) => left - right);
  return rounds[ROUNDS >> 1] ?? 0;
}

/**
 * Creates a seeded generator of numbers in [0, 1), which costs little compared
 * with what is measured.
 */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Nanoseconds of one decision, on this machine. @module */

const ROUNDS = 9;
const WARM_UP_ROUNDS = 3;

/**
 * The median of some rounds of `decisions` calls each: a round that was cut short
 * by another process or by the garbage collector does not count.
 */
export function nanosecondsOf(
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

/** A repeatable sequence of numbers in [0, 1), cheap beside what is measured. */
export function numbers(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

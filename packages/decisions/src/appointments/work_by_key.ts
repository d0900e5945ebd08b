/**
 * Sums slot time by sort key, so that the time that requests before a given key
 * need is known without a pass over the requests.
 * @module
 */

/** Steps of the keys for each factor of two; a step spans 26 %. */
const STEPS_PER_OCTAVE = 3;
/** Range of the keys: up to 2 to this power. Larger keys count in the last. */
const OCTAVES = 28;
const STEPS = STEPS_PER_OCTAVE * OCTAVES;

/** Index of the step in which a key lies. */
export function keyStep(key: number): number {
  const step = Math.floor(Math.log2(Math.max(1, key)) * STEPS_PER_OCTAVE);
  return Math.min(STEPS - 1, step);
}

/** Slot time in milliseconds by step of the sort key. */
export class WorkByKey {
  readonly #sums = new Float64Array(STEPS);

  add(step: number, work: number): void {
    this.#sums[step]! += work;
  }

  addAll(other: WorkByKey): void {
    for (let step = 0; step < STEPS; step++) {
      this.#sums[step]! += other.#sums[step]!;
    }
  }

  subtract(other: WorkByKey): void {
    for (let step = 0; step < STEPS; step++) {
      this.#sums[step] = Math.max(0, this.#sums[step]! - other.#sums[step]!);
    }
  }

  clear(): void {
    this.#sums.fill(0);
  }

  get total(): number {
    return this.#sums.reduce((sum, work) => sum + work, 0);
  }

  /** Work of smaller keys, with half of that in the same step. */
  below(step: number): number {
    let work = this.#sums[step]! / 2;
    for (let index = 0; index < step; index++) work += this.#sums[index]!;
    return work;
  }
}

/**
 * Assigns demand of classes to data centres so that the total profit is
 * greatest: a transportation problem with optional delivery, solved exactly by
 * successive shortest paths (Ahuja, Magnanti and Orlin 1993, chapter 9).
 *
 * There are few data centres, so paths are searched among these only, and the
 * cost of a path does not depend on the number of servers.
 * @module
 */

/** Demand of one class in one data centre. */
export type FlowSource = {
  /** Slots that it would occupy on average. */
  amount: number;
  /**
   * Profit for each unit of slot time, by data centre (an index into the
   * capacities); `-Infinity` where it may not run.
   */
  profits: readonly number[];
};

export type FlowProblem = {
  sources: readonly FlowSource[];
  /** Slots of each data centre. */
  capacities: readonly number[];
};

export type FlowPlan = {
  /** Amount of each source that each data centre serves. */
  flows: readonly (readonly number[])[];
  /** What one more unit of slot time at each data centre would be worth. */
  prices: readonly number[];
  /** Total profit. */
  benefit: number;
};

/** Amounts of slots below this are rounding errors. */
const MINIMUM_AMOUNT = 1e-9;
/** Differences of profit below this are rounding errors. */
const MINIMUM_PROFIT = 1e-12;
/** Paths for each source and data centre after which the search ends. */
const MAXIMUM_PATHS = 4;

/** Displaces flow at `place`: it is dropped, or goes on to `next`. */
type Step = { source: number; next: number | undefined };

/** State of the search; sources are added one after the other. */
class FlowSearch {
  readonly flows: number[][];
  /** Greatest profit of freeing a unit at each data centre; at most 0. */
  readonly #freeing: number[];
  readonly #steps: (Step | undefined)[];
  readonly #problem: FlowProblem;
  readonly #free: number[];

  constructor(problem: FlowProblem) {
    this.#problem = problem;
    this.#free = [...problem.capacities];
    this.flows = problem.sources.map(() => this.#free.map(() => 0));
    this.#freeing = this.#free.map(() => 0);
    this.#steps = this.#free.map(() => undefined);
  }

  get prices(): number[] {
    this.#updateFreeing();
    return this.#freeing.map((profit) => Math.max(0, -profit));
  }

  /** Assigns as much of a source as is profitable. */
  add(source: number): void {
    const { amount } = this.#problem.sources[source]!;
    let left = amount;
    const maximum = MAXIMUM_PATHS * this.#problem.sources.length *
      this.#free.length;
    for (let path = 0; path < maximum && left > MINIMUM_AMOUNT; path++) {
      this.#updateFreeing();
      const place = this.#bestPlace(source);
      if (place === undefined) return;
      left -= this.#augment(source, place, left);
    }
  }

  #bestPlace(source: number): number | undefined {
    const { profits } = this.#problem.sources[source]!;
    let best: number | undefined;
    let bestProfit = MINIMUM_PROFIT;
    profits.forEach((profit, place) => {
      const total = profit + this.#freeing[place]!;
      if (total <= bestProfit) return;
      best = place;
      bestProfit = total;
    });
    return best;
  }

  /** Finds the cheapest way to free a unit at each data centre. */
  #updateFreeing(): void {
    const size = this.#free.length;
    const dropping = new Array<number>(size).fill(-Infinity);
    const droppers = new Array<number>(size).fill(-1);
    const moving = new Array<number>(size * size).fill(-Infinity);
    const movers = new Array<number>(size * size).fill(-1);
    this.flows.forEach((flow, source) => {
      const { profits } = this.#problem.sources[source]!;
      for (let place = 0; place < size; place++) {
        if (flow[place]! <= MINIMUM_AMOUNT) continue;
        if (-profits[place]! > dropping[place]!) {
          dropping[place] = -profits[place]!;
          droppers[place] = source;
        }
        for (let next = 0; next < size; next++) {
          const profit = profits[next]! - profits[place]!;
          if (next === place || profit <= moving[place * size + next]!) {
            continue;
          }
          moving[place * size + next] = profit;
          movers[place * size + next] = source;
        }
      }
    });
    for (let place = 0; place < size; place++) {
      const isFree = this.#free[place]! > MINIMUM_AMOUNT;
      this.#freeing[place] = isFree ? 0 : dropping[place]!;
      this.#steps[place] = isFree || droppers[place]! < 0
        ? undefined
        : { source: droppers[place]!, next: undefined };
    }
    for (let round = 1; round < size; round++) {
      for (let place = 0; place < size; place++) {
        for (let next = 0; next < size; next++) {
          const mover = movers[place * size + next]!;
          if (mover < 0) continue;
          const profit = moving[place * size + next]! + this.#freeing[next]!;
          if (profit <= this.#freeing[place]! + MINIMUM_PROFIT) continue;
          this.#freeing[place] = profit;
          this.#steps[place] = { source: mover, next };
        }
      }
    }
  }

  /** Moves flow along the path that starts at `place`; returns the amount. */
  #augment(source: number, place: number, left: number): number {
    const path: { place: number; step: Step }[] = [];
    let amount = left;
    let end = place;
    for (let step = this.#steps[end]; step !== undefined;) {
      path.push({ place: end, step });
      amount = Math.min(amount, this.flows[step.source]![end]!);
      if (step.next === undefined) break;
      end = step.next;
      step = this.#steps[end];
    }
    const isDropped = path.at(-1)?.step.next === undefined && path.length > 0;
    if (!isDropped) {
      amount = Math.min(amount, this.#free[end]!);
      this.#free[end]! -= amount;
    }
    for (const { place: from, step } of path) {
      this.flows[step.source]![from]! -= amount;
      if (step.next !== undefined) {
        this.flows[step.source]![step.next]! += amount;
      }
    }
    this.flows[source]![place]! += amount;
    return amount;
  }
}

/** Returns the plan with the greatest benefit. */
export function solveFlow(problem: FlowProblem): FlowPlan {
  const search = new FlowSearch(problem);
  const order = problem.sources
    .map(({ profits }, source) => ({ source, best: Math.max(...profits) }))
    .sort((one, other) => other.best - one.best);
  for (const { source } of order) search.add(source);
  const { flows, prices } = search;
  return { flows, prices, benefit: benefitOf(problem, flows) };
}

function benefitOf(
  { sources }: FlowProblem,
  flows: readonly (readonly number[])[],
): number {
  let benefit = 0;
  sources.forEach(({ profits }, source) => {
    flows[source]!.forEach((amount, place) => {
      if (amount > 0) benefit += amount * profits[place]!;
    });
  });
  return benefit;
}

/**
 * Computes an upper bound on goodput, which no policy can exceed whatever it
 * knows. The fleet is modelled as one machine that is as fast as all live
 * engines together and works on requests in any order and in fractions. A
 * request costs its minimum work (prefix cached, full batches) and is good if
 * that work fits between its arrival and its deadline. Goals for the first
 * token, the speeds of individual engines and the work of the warm-up are
 * ignored, which can only raise the bound.
 *
 * Work with time windows can be scheduled on a machine exactly if no interval
 * contains more of it than the machine can do in that time (Hall's condition).
 * The schedulable sets form a polymatroid, so a greedy algorithm is optimal: it
 * takes requests one by one, each as far as it still fits, in order of value.
 * This order is by tier, and within a tier by work, least first; for the bound
 * without tiers it is by work only.
 * @module
 */
import { minWork } from "../model/engine_settings.ts";
import type { SimulatedRequest } from "../model/request.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";

/**
 * Number of time bins. Intervals consist of whole bins; the requests' windows
 * are widened to these.
 */
const BIN_COUNT = 160;

type Options = {
  deployment: Deployment;
  pattern: Pattern;
  requests: readonly SimulatedRequest[];
};

/**
 * Returns the maximum number of good requests of each tier, if lower tiers get
 * the capacity that higher tiers leave.
 */
export function boundByTier(options: Options): Map<string, number> {
  const ordered = withWork(options.requests).sort((left, right) =>
    left.request.requestClass.tierRank - right.request.requestClass.tierRank ||
    left.work - right.work
  );
  return scheduleAll(ordered, options);
}

/** Returns the maximum number of good requests regardless of their tiers. */
export function untieredBound(options: Options): number {
  const ordered = withWork(options.requests).sort((left, right) =>
    left.work - right.work
  );
  let total = 0;
  for (const good of scheduleAll(ordered, options).values()) total += good;
  return total;
}

type RequestWork = { request: SimulatedRequest; work: number };

function withWork(requests: readonly SimulatedRequest[]): RequestWork[] {
  return requests.map((request) => ({ request, work: minWork(request) }));
}

function scheduleAll(
  ordered: readonly RequestWork[],
  options: Options,
): Map<string, number> {
  const machine = new FluidMachine(options);
  const good = new Map<string, number>();
  for (const { request, work } of ordered) {
    const { tier } = request.requestClass;
    const scheduled = machine.schedule(request, work);
    good.set(tier, (good.get(tier) ?? 0) + scheduled / work);
  }
  return good;
}

/** Tracks the remaining capacity in each interval of time. */
class FluidMachine {
  readonly #binLength: number;
  /**
   * Remaining capacity, in milliseconds of work at speed 1, of the interval from
   * the start of bin `start` (first index) to the end of bin `end`.
   */
  readonly #capacity: Float64Array[];

  constructor(options: Options) {
    const end = Math.max(...options.requests.map(deadlineOf));
    this.#binLength = end / BIN_COUNT;
    this.#capacity = Array.from({ length: BIN_COUNT }, (_, start) => {
      const capacity = new Float64Array(BIN_COUNT);
      let sum = 0;
      for (let bin = start; bin < BIN_COUNT; bin++) {
        sum += this.#speedInBin(bin, options) * this.#binLength;
        capacity[bin] = sum;
      }
      return capacity;
    });
  }

  /** Schedules as much of the work as fits and returns the amount. */
  schedule(request: SimulatedRequest, work: number): number {
    const first = Math.floor(request.arrival / this.#binLength);
    const last = Math.min(
      BIN_COUNT - 1,
      Math.floor(deadlineOf(request) / this.#binLength),
    );
    let fits = work;
    for (let start = 0; start <= first; start++) {
      const capacity = this.#capacity[start]!;
      for (let end = last; end < BIN_COUNT; end++) {
        if (capacity[end]! < fits) fits = capacity[end]!;
      }
      if (fits <= 0) return 0;
    }
    for (let start = 0; start <= first; start++) {
      const capacity = this.#capacity[start]!;
      for (let end = last; end < BIN_COUNT; end++) capacity[end]! -= fits;
    }
    return fits;
  }

  /** Returns the maximum speed of the fleet at any time within the bin. */
  #speedInBin(bin: number, { deployment, pattern }: Options): number {
    const speeds = deployment.engines.map((engine) => engine.speed)
      .sort((left, right) => right - left);
    const from = bin * this.#binLength / deployment.horizon;
    const to = (bin + 1) * this.#binLength / deployment.horizon;
    for (const event of pattern.engineEvents ?? []) {
      const within = event.kind === "lost"
        ? from >= event.at
        : from >= event.from && to <= event.to;
      const factor = event.kind === "lost" ? 0 : 1 / event.factor;
      if (within) speeds[event.engine]! *= factor;
    }
    return speeds.reduce((sum, speed) => sum + speed, 0);
  }
}

function deadlineOf({ arrival, requestClass }: SimulatedRequest): number {
  return arrival + requestClass.deadline;
}
